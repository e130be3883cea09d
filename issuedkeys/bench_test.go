package issuedkeys_test

import "testing"

// BenchmarkIssueVerifyTake measures the cost of the issued key of one booking:
// issuing it, verifying it and using it once.
func BenchmarkIssueVerifyTake(b *testing.B) {
	issuer := newIssuer(secret)
	b.ReportAllocs()
	for b.Loop() {
		keys, _ := issuer.Issue("north", "booking", 1)
		key, err := issuer.Verify("north", "booking", keys[0])
		if err != nil {
			b.Fatal(err)
		}
		use, _, _ := issuer.Take(key, "call")
		use.End(nil, nil)
	}
}
