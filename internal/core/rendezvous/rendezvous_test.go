package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

func hosts(n, domains int) []msg.Host {
	var out []msg.Host
	for i := range n {
		out = append(out, msg.Host{Host: msg.HostID(fmt.Sprintf("h%d", i)), Domain: msg.FailureDomain(fmt.Sprint(i % domains))})
	}
	return out
}

func TestOrderIsIndependentOfInputOrder(t *testing.T) {
	is := is.New(t)
	list := hosts(20, 4)
	want := Order("k", list)
	slices.Reverse(list)
	is.Equal(Order("k", list), want)
	for i, h := range want {
		is.Equal(Rank("k", h.Host, list), i)
	}
	// A host that leaves does not change the order of the others.
	is.Equal(Order("k", slices.DeleteFunc(list, func(h msg.Host) bool { return h == want[3] })), slices.Delete(want, 3, 4))
}

func TestSpreadCoversDomainsFirst(t *testing.T) {
	is := is.New(t)
	list := append(hosts(10, 1), msg.Host{Host: "x", Domain: "x"}, msg.Host{Host: "y", Domain: "y"})
	for _, key := range []string{"a", "b", "c"} {
		got := Spread(key, list, 4)
		is.Equal(len(got), 4)
		domains := map[msg.FailureDomain]int{}
		for _, h := range got {
			domains[h.Domain]++
		}
		is.Equal(domains, map[msg.FailureDomain]int{"0": 2, "x": 1, "y": 1})
	}
	is.Equal(len(Spread("a", list, 50)), len(list))
}

func TestKeysAreDistributedEvenly(t *testing.T) {
	is := is.New(t)
	list := hosts(16, 4)
	first := map[msg.HostID]int{}
	for i := range 1600 {
		first[Order(fmt.Sprint("key", i), list)[0].Host]++
	}
	for _, h := range list {
		is.True(first[h.Host] > 50 && first[h.Host] < 200) // The mean is 100.
	}
}
