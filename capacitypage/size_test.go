package capacitypage_test

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"fmt"
	"io"
	"strings"
	"testing"
)

// BenchmarkListSize reports the size of a list of 5,700 entries, plain and
// compressed. Real IDs and addresses vary more than these and compress less well.
func BenchmarkListSize(b *testing.B) {
	for b.Loop() {
		packed := compressedInstanceList("http://10.20.30.40:8000", 5700)
		unpacked, err := gzip.NewReader(bytes.NewReader(packed))
		if err != nil {
			b.Fatal(err)
		}
		plain, err := io.Copy(io.Discard, unpacked)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(plain), "plain-B")
		b.ReportMetric(float64(len(packed)), "packed-B")
	}
}

// BenchmarkConfigurationSize reports the size of a configuration of 500
// organisations with a key each, plain and compressed as in package rollout. Key
// hashes hardly compress, so they dominate the cost of a push.
func BenchmarkConfigurationSize(b *testing.B) {
	for b.Loop() {
		organisations := make([]string, 500)
		for i := range organisations {
			hash := sha256.Sum256(fmt.Append(nil, i))
			organisations[i] = fmt.Sprintf(`{"name": "organisation-%d", "key_hashes": ["%x"], "share": %d}`, i, hash, i%7+1)
		}
		plain := fmt.Sprintf(`{"defaults": {}, "organisations": [%s], "models": [{"name": "summary"}], "services": []}`,
			strings.Join(organisations, ",\n"))
		var packed bytes.Buffer
		w := gzip.NewWriter(&packed)
		fmt.Fprint(w, plain)
		if err := w.Close(); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(plain)), "plain-B")
		b.ReportMetric(float64(packed.Len()), "packed-B")
	}
}
