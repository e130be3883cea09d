// Package dynamodb implements zinniamast.Table over the DynamoDB protocol.
package dynamodb

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	sdk "github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"zinniamast"
	"zinniamast/httplimit"
)

// Defaults for zero values in Config, and the bound of a response body.
const (
	defaultTimeout     = 3 * time.Second
	defaultConnections = 16
	maxResponseBytes   = 8 << 20
)

// Config holds the table's address and credentials, and the bounds of the client.
type Config struct {
	// URL is the service's base URL.
	URL string
	// Table is the table's name.
	Table string
	// Region, AccessKey and SecretKey are used to sign calls.
	Region    string
	AccessKey string
	SecretKey string
	// Timeout bounds one call; zero means three seconds.
	Timeout time.Duration
	// Connections bounds connections to the service; zero means 16.
	Connections int
}

// Table implements zinniamast.Table.
type Table struct {
	client *sdk.Client
	http   *http.Client
	name   string
}

// New returns a client of the table. The SDK's retries are disabled: after a lost
// response it would send a conditional write again, which would conflict with the
// first attempt and be reported as another writer's change.
func New(c Config) *Table {
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.Connections == 0 {
		c.Connections = defaultConnections
	}
	client := httplimit.NewClient(httplimit.Config{
		Timeout:        c.Timeout,
		MaxBody:        maxResponseBytes,
		MaxConnections: c.Connections,
	})
	return &Table{
		client: sdk.New(sdk.Options{
			BaseEndpoint: aws.String(c.URL),
			Region:       c.Region,
			Credentials:  credentials.NewStaticCredentialsProvider(c.AccessKey, c.SecretKey, ""),
			Retryer:      aws.NopRetryer{},
			HTTPClient:   client,
		}),
		http: client,
		name: c.Table,
	}
}

// Close closes idle connections.
func (t *Table) Close() { t.http.CloseIdleConnections() }

// Get implements zinniamast.Table.
func (t *Table) Get(ctx context.Context, key zinniamast.Key) (zinniamast.Item, error) {
	out, err := t.client.GetItem(ctx, &sdk.GetItemInput{
		TableName:      aws.String(t.name),
		Key:            encodeKey(key),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return zinniamast.Item{}, translate(err)
	}
	if len(out.Item) == 0 {
		return zinniamast.Item{}, merry.Prependf(zinniamast.ErrNotFound, "item %s/%s", key.Partition, key.Sort)
	}
	return decode(out.Item)
}

// Query implements zinniamast.Table.
func (t *Table) Query(ctx context.Context, partition string, after string, limit int) ([]zinniamast.Item, error) {
	var items []zinniamast.Item
	for {
		page, more, err := t.page(ctx, partition, after, limit-len(items))
		if err != nil {
			return nil, err
		}
		items = append(items, page...)
		if !more || len(page) == 0 || len(items) >= limit {
			return items, nil
		}
		after = page[len(page)-1].Key.Sort
	}
}

func (t *Table) page(ctx context.Context, partition, after string, limit int) ([]zinniamast.Item, bool, error) {
	input := &sdk.QueryInput{
		TableName:              aws.String(t.name),
		KeyConditionExpression: aws.String("pk = :pk"),
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":pk": &types.AttributeValueMemberS{
				Value: partition,
			},
		},
		ConsistentRead: aws.Bool(true),
		Limit:          aws.Int32(int32(limit)),
	}
	if after != "" {
		input.KeyConditionExpression = aws.String("pk = :pk AND sk > :sk")
		input.ExpressionAttributeValues[":sk"] = &types.AttributeValueMemberS{
			Value: after,
		}
	}
	out, err := t.client.Query(ctx, input)
	if err != nil {
		return nil, false, translate(err)
	}
	items := make([]zinniamast.Item, 0, len(out.Items))
	for _, attributes := range out.Items {
		item, err := decode(attributes)
		if err != nil {
			return nil, false, err
		}
		items = append(items, item)
	}
	return items, len(out.LastEvaluatedKey) > 0, nil
}

// Write implements zinniamast.Table.
func (t *Table) Write(ctx context.Context, writes []zinniamast.Write) error {
	if err := zinniamast.CheckWrites(writes); err != nil {
		return merry.Prepend(err, "table")
	}
	switch {
	case len(writes) == 0:
		return nil
	case len(writes) > 1:
		return t.transact(ctx, writes)
	case writes[0].Delete:
		return t.remove(ctx, writes[0])
	default:
		return t.put(ctx, writes[0])
	}
}

func (t *Table) put(ctx context.Context, w zinniamast.Write) error {
	expression, values := condition(w)
	_, err := t.client.PutItem(ctx, &sdk.PutItemInput{
		TableName:                 aws.String(t.name),
		Item:                      encode(w),
		ConditionExpression:       expression,
		ExpressionAttributeValues: values,
	})
	return translate(err)
}

func (t *Table) remove(ctx context.Context, w zinniamast.Write) error {
	expression, values := condition(w)
	_, err := t.client.DeleteItem(ctx, &sdk.DeleteItemInput{
		TableName:                 aws.String(t.name),
		Key:                       encodeKey(w.Item.Key),
		ConditionExpression:       expression,
		ExpressionAttributeValues: values,
	})
	return translate(err)
}

func (t *Table) transact(ctx context.Context, writes []zinniamast.Write) error {
	items := make([]types.TransactWriteItem, len(writes))
	for i, w := range writes {
		expression, values := condition(w)
		if w.Delete {
			items[i].Delete = &types.Delete{
				TableName:                 aws.String(t.name),
				Key:                       encodeKey(w.Item.Key),
				ConditionExpression:       expression,
				ExpressionAttributeValues: values,
			}
			continue
		}
		items[i].Put = &types.Put{
			TableName:                 aws.String(t.name),
			Item:                      encode(w),
			ConditionExpression:       expression,
			ExpressionAttributeValues: values,
		}
	}
	_, err := t.client.TransactWriteItems(ctx, &sdk.TransactWriteItemsInput{
		TransactItems: items,
	})
	return translate(err)
}

// condition returns the condition expression of a write and its values: the item must
// not exist if the expected revision is zero, or else have that revision.
func condition(w zinniamast.Write) (*string, map[string]types.AttributeValue) {
	if w.Expect == 0 {
		return aws.String("attribute_not_exists(pk)"), nil
	}
	return aws.String("rev = :expect"), map[string]types.AttributeValue{
		":expect": numberAttribute(w.Expect),
	}
}

func numberAttribute(n uint64) *types.AttributeValueMemberN {
	return &types.AttributeValueMemberN{
		Value: strconv.FormatUint(n, 10),
	}
}
