package parser

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/keeper"
)

func TestParse(t *testing.T) {
	state := keeper.NewState().WithDeclarations(keeper.Declarations{
		Pools:    []keeper.Pool{{Name: "p"}},
		Services: []keeper.Service{{Name: "build", Pool: "p"}, {Name: "check", Pool: "p", Idempotent: true}, {Name: "other", Pool: "p"}},
		Customers: []keeper.Customer{
			{Name: "school", Token: "digest", Services: []string{"build", "check"}},
		},
	})
	cfg := Config{DefaultTimeout: 30 * time.Second, MaxTimeout: time.Minute}
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		raw        Raw
		wantErr    error
		urgency    int
		timeout    time.Duration
		idempotent bool
	}{
		"defaults":                     {raw: Raw{Method: "POST", Service: "build"}, urgency: 3, timeout: 30 * time.Second},
		"urgent":                       {raw: Raw{Method: "POST", Service: "build", Priority: "i, u=0"}, urgency: 0, timeout: 30 * time.Second},
		"timeout in the request":       {raw: Raw{Method: "POST", Service: "build", Timeout: "1.5"}, urgency: 3, timeout: 1500 * time.Millisecond},
		"timeout over the maximum":     {raw: Raw{Method: "POST", Service: "build", Timeout: "1e9"}, urgency: 3, timeout: time.Minute},
		"idempotent by method":         {raw: Raw{Method: "PUT", Service: "build"}, urgency: 3, timeout: 30 * time.Second, idempotent: true},
		"idempotent by declaration":    {raw: Raw{Method: "POST", Service: "check"}, urgency: 3, timeout: 30 * time.Second, idempotent: true},
		"unknown token":                {raw: Raw{Token: "x", Service: "build"}, wantErr: ErrCredential},
		"unknown service":              {raw: Raw{Service: "none"}, wantErr: ErrService},
		"service not allowed":          {raw: Raw{Service: "other"}, wantErr: ErrService},
		"urgency out of range":         {raw: Raw{Service: "build", Priority: "u=8"}, wantErr: ErrField},
		"timeout without digits":       {raw: Raw{Service: "build", Timeout: "soon"}, wantErr: ErrField},
		"timeout of zero":              {raw: Raw{Service: "build", Timeout: "0"}, wantErr: ErrField},
		"timeout of NaN":               {raw: Raw{Service: "build", Timeout: "NaN"}, wantErr: ErrField},
		"key with an unprintable byte": {raw: Raw{Service: "build", Key: "a\nb"}, wantErr: ErrField},
		"key over the maximum length":  {raw: Raw{Service: "build", Key: string(make([]byte, MaxKeyLength+1))}, wantErr: ErrField},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if tc.raw.Token == "" {
				tc.raw.Token = "digest"
			}
			r, err := Parse(now, cfg, state, tc.raw)
			must.ErrorIs(t, err, tc.wantErr)
			if tc.wantErr != nil {
				return
			}
			must.Eq(t, tc.urgency, r.Urgency)
			must.Eq(t, now.Add(tc.timeout), r.Deadline)
			must.Eq(t, tc.idempotent, r.Idempotent)
			must.Eq(t, "p", r.Pool)
		})
	}
}
