package dynamodb

import (
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"zinniamast"
)

// Attribute names of an item; none is a reserved word of DynamoDB.
const (
	attributePartition = "pk"
	attributeSort      = "sk"
	attributeValue     = "body"
	attributeRevision  = "rev"
	attributeExpires   = "exp"
	attributeToken     = "writer"
)

func encodeKey(key zinniamast.Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attributePartition: &types.AttributeValueMemberS{
			Value: key.Partition,
		},
		attributeSort: &types.AttributeValueMemberS{
			Value: key.Sort,
		},
	}
}

func encode(w zinniamast.Write) map[string]types.AttributeValue {
	attributes := encodeKey(w.Item.Key)
	attributes[attributeValue] = &types.AttributeValueMemberB{
		Value: w.Item.Value,
	}
	attributes[attributeRevision] = numberAttribute(w.Expect + 1)
	attributes[attributeToken] = &types.AttributeValueMemberS{
		Value: w.Item.Token,
	}
	if !w.Item.Expires.IsZero() {
		// The expiry has whole seconds. It is rounded up, so that the platform does
		// not delete an item early.
		seconds := w.Item.Expires.Add(time.Second - 1).Unix()
		attributes[attributeExpires] = numberAttribute(uint64(max(1, seconds)))
	}
	return attributes
}

func decode(attributes map[string]types.AttributeValue) (zinniamast.Item, error) {
	revision, err := parseNumber(attributes, attributeRevision)
	if err != nil {
		return zinniamast.Item{}, err
	}
	item := zinniamast.Item{
		Key: zinniamast.Key{
			Partition: stringAttribute(attributes, attributePartition),
			Sort:      stringAttribute(attributes, attributeSort),
		},
		Revision: revision,
		Token:    stringAttribute(attributes, attributeToken),
	}
	if value, ok := attributes[attributeValue].(*types.AttributeValueMemberB); ok {
		item.Value = value.Value
	}
	if _, ok := attributes[attributeExpires]; ok {
		seconds, err := parseNumber(attributes, attributeExpires)
		if err != nil {
			return zinniamast.Item{}, err
		}
		item.Expires = time.Unix(int64(seconds), 0)
	}
	return item, nil
}

func stringAttribute(attributes map[string]types.AttributeValue, name string) string {
	if value, ok := attributes[name].(*types.AttributeValueMemberS); ok {
		return value.Value
	}
	return ""
}

func parseNumber(attributes map[string]types.AttributeValue, name string) (uint64, error) {
	value, ok := attributes[name].(*types.AttributeValueMemberN)
	if !ok {
		return 0, merry.Errorf("table: item without attribute %s", name)
	}
	n, err := strconv.ParseUint(value.Value, 10, 64)
	if err != nil {
		return 0, merry.Prependf(err, "table: attribute %s", name)
	}
	return n, nil
}
