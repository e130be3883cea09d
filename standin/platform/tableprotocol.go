package platform

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"zinniamast"
)

// attribute is a typed value of the table protocol.
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B []byte  `json:"B,omitempty"`
}

// record is an item in the table protocol.
type record map[string]attribute

// change is a Put or Delete with its condition, which is either
// "attribute_not_exists(pk)" or "rev = :expect": the client of zinniamast sends
// no other.
type change struct {
	Item                      record
	Key                       record
	ConditionExpression       string
	ExpressionAttributeValues record
}

// tableRequest holds the fields of the operations that the client of zinniamast
// sends.
type tableRequest struct {
	change
	ExclusiveStartKey record
	Limit             int
	TransactItems     []struct {
		Put    *change
		Delete *change
	}
}

// cancellationReason is the result of one write of a cancelled transaction.
type cancellationReason struct {
	Code string
}

// tableError is an error of the table protocol.
type tableError struct {
	Type                string               `json:"__type"`
	Message             string               `json:"message"`
	CancellationReasons []cancellationReason `json:",omitempty"`
}

func (r record) text(name string) string {
	if value := r[name].S; value != nil {
		return *value
	}
	return ""
}

func (r record) number(name string) int64 {
	value := r[name].N
	if value == nil {
		return 0
	}
	n, _ := strconv.ParseInt(*value, 10, 64)
	return n
}

func (r record) key() zinniamast.Key {
	return zinniamast.Key{
		Partition: r.text("pk"),
		Sort:      r.text("sk"),
	}
}

func (r record) item() zinniamast.Item {
	item := zinniamast.Item{
		Key:   r.key(),
		Value: r["body"].B,
		Token: r.text("writer"),
	}
	if seconds := r.number("exp"); seconds != 0 {
		item.Expires = time.Unix(seconds, 0)
	}
	return item
}

func recordOf(item zinniamast.Item) record {
	revision := strconv.FormatUint(item.Revision, 10)
	r := record{
		"pk":     {S: &item.Key.Partition},
		"sk":     {S: &item.Key.Sort},
		"body":   {B: item.Value},
		"rev":    {N: &revision},
		"writer": {S: &item.Token},
	}
	if len(item.Value) == 0 {
		delete(r, "body")
	}
	if !item.Expires.IsZero() {
		expires := strconv.FormatInt(item.Expires.Unix(), 10)
		r["exp"] = attribute{
			N: &expires,
		}
	}
	return r
}

func (c change) write(remove bool) zinniamast.Write {
	w := zinniamast.Write{
		Item:   c.Item.item(),
		Delete: remove,
	}
	if remove {
		w.Item.Key = c.Key.key()
	}
	if strings.HasPrefix(c.ConditionExpression, "rev = ") {
		w.Expect = uint64(c.ExpressionAttributeValues.number(":expect"))
	}
	return w
}

func (p *Platform) serveTable(w http.ResponseWriter, r *http.Request) {
	var body tableRequest
	if !decode(w, r, &body) {
		return
	}
	_, operation, _ := strings.Cut(r.Header.Get("X-Amz-Target"), ".")
	switch operation {
	case "GetItem":
		item, err := p.Table.Get(r.Context(), body.Key.key())
		if errors.Is(err, zinniamast.ErrNotFound) {
			writeTableAnswer(w, 1, struct{}{}, nil)
			return
		}
		writeTableAnswer(w, 1, struct{ Item record }{recordOf(item)}, err)
	case "Query":
		values := body.ExpressionAttributeValues
		items, err := p.Table.Query(r.Context(), values.text(":pk"), values.text(":sk"), body.Limit)
		records := []record{}
		for _, item := range items {
			records = append(records, recordOf(item))
		}
		writeTableAnswer(w, 1, struct{ Items []record }{records}, err)
	case "PutItem", "DeleteItem":
		err := p.Table.Write(r.Context(), []zinniamast.Write{body.write(operation == "DeleteItem")})
		writeTableAnswer(w, 1, struct{}{}, err)
	case "TransactWriteItems":
		var writes []zinniamast.Write
		for _, item := range body.TransactItems {
			if item.Put != nil {
				writes = append(writes, item.Put.write(false))
			} else if item.Delete != nil {
				writes = append(writes, item.Delete.write(true))
			}
		}
		writeTableAnswer(w, len(writes), struct{}{}, p.Table.Write(r.Context(), writes))
	default:
		http.Error(w, "unknown operation "+operation, http.StatusBadRequest)
	}
}

func writeTableAnswer(w http.ResponseWriter, writes int, body any, err error) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	var conflict *zinniamast.ConflictError
	switch {
	case err == nil:
		_ = json.NewEncoder(w).Encode(body)
	case errors.As(err, &conflict) && writes == 1:
		writeTableError(w, tableError{
			Type: "ConditionalCheckFailedException",
		})
	case errors.As(err, &conflict):
		reasons := make([]cancellationReason, writes)
		for i := range reasons {
			reasons[i].Code = "None"
		}
		for _, i := range conflict.Failed {
			reasons[i].Code = "ConditionalCheckFailed"
		}
		writeTableError(w, tableError{
			Type:                "TransactionCanceledException",
			CancellationReasons: reasons,
		})
	case errors.Is(err, zinniamast.ErrThrottled):
		writeTableError(w, tableError{
			Type: "ProvisionedThroughputExceededException",
		})
	default:
		panic(http.ErrAbortHandler)
	}
}

func writeTableError(w http.ResponseWriter, failure tableError) {
	failure.Type = "com.amazonaws.dynamodb.v20120810#" + failure.Type
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(failure)
}
