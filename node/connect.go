package node

import (
	"zinniamast/dynamodb"
	"zinniamast/platformapi"
	"zinniamast/s3"
	"zinniamast/settings"
)

// Connect builds the platform's clients from settings.
func Connect(s *settings.Settings) Platform {
	p := &s.Platform
	api := platformapi.New(platformapi.Config{
		CloudURL:   p.CloudURL,
		ListURL:    p.ListURL,
		WeightsURL: p.WeightsURL,
		AccessKey:  p.AccessKey,
		SecretKey:  p.SecretKey,
	})
	return Platform{
		Table: dynamodb.New(dynamodb.Config{
			URL:       p.TableURL,
			Table:     p.TableName,
			Region:    p.Region,
			AccessKey: p.AccessKey,
			SecretKey: p.SecretKey,
		}),
		Objects: s3.New(s3.Config{
			URL:       p.ObjectsURL,
			Bucket:    p.Bucket,
			Region:    p.Region,
			AccessKey: p.AccessKey,
			SecretKey: p.SecretKey,
		}),
		Cloud:   api,
		List:    api,
		Weights: api,
	}
}
