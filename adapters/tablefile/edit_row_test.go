package tablefile

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"greengagespoke/domain"
)

func TestEditRow(t *testing.T) {
	f, err := Parse("tables.yaml", []byte(validTables))
	if err != nil {
		t.Fatal(err)
	}
	rows := rowsFromFile(t, f)
	pool, route := rows[0], rows[1]
	cases := []struct {
		row        domain.VersionedRow
		set, unset []string
		// want lists the paths of the changed fields. With a leading "!" it is
		// the key and the beginning of the problem of the expected error.
		want string
	}{
		{route, []string{"timeout=5m", "weights.firm-a=2"}, nil, "timeout weights.firm-a"},
		{route, []string{"timeout=10m"}, nil, ""},
		{route, nil, []string{"timeout"}, "timeout"},
		{pool, []string{"upstreams[1].slots=16"}, nil, "upstreams[1].slots"},
		{pool, []string{"upstreams[decode-1].slots=16"}, nil, "upstreams[1].slots"},
		{
			pool,
			[]string{"upstreams[+]={id: p2, zone: z-1, address: '127.0.0.1:9003', role: prefill}"},
			nil,
			"upstreams[2].address upstreams[2].id upstreams[2].role upstreams[2].zone",
		},
		{pool, nil, []string{"upstreams[0].prefill_rate"}, "upstreams[0].prefill_rate"},
		{
			domain.VersionedRow{Table: domain.TableRoutes, Row: "new"},
			[]string{"pool=p", "model=m", "class=patient", "max_output_tokens=9"},
			nil, "class max_output_tokens model name pool",
		},
		{route, []string{"timout=5m"}, nil, "!timout: unknown key"},
		{route, []string{"timeout=5"}, nil, "!timeout: the duration 5 has no unit"},
		{route, []string{"timeout"}, nil, "!timeout: the setting has no key"},
		{route, []string{"timeout=[a"}, nil, "!timeout: \"[a\" is not a YAML value"},
		{route, []string{"timeout.x=1"}, nil, "!timeout.x: the key goes on"},
		{route, []string{"a..b=1"}, nil, "!a..b: the key is not a path"},
		{pool, []string{"upstreams[decode-9].slots=1"}, nil, "!upstreams[decode-9].slots: there is no item"},
		{pool, []string{"kind[0]=1"}, nil, "!kind[0]: the key names an item"},
	}
	for _, c := range cases {
		name := fmt.Sprint(c.set, c.unset)
		t.Run(name, func(t *testing.T) {
			changes, err := EditRow(c.row, c.set, c.unset)
			if want, isFault := strings.CutPrefix(c.want, "!"); isFault {
				var fault *Error
				if !errors.As(err, &fault) || !strings.HasPrefix(fault.Key+": "+fault.Problem, want) {
					t.Errorf("error is %v, want %q", err, want)
				}
				return
			}
			var paths []string
			for _, change := range changes {
				for _, field := range change.Fields {
					paths = append(paths, field.Path)
				}
			}
			if err != nil || strings.Join(paths, " ") != c.want {
				t.Errorf("changed %v, error %v; want %s", paths, err, c.want)
			}
		})
	}
}
