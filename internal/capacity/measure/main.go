// Command measure prints what daemons cost at several sizes, as Markdown.
package main

import (
	"fmt"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/capacity"
)

func main() {
	for _, s := range []float64{0.25, 0.5, 1} {
		t := time.Now()
		c := capacity.MeasureControl(capacity.Target.Scale(s))
		fmt.Printf("%v %+v\n", time.Since(t), c)
	}
}
