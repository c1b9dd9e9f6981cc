package entry_test

import (
	"context"
	"log"
	"os"
	"os/signal"

	"github.com/nutmegweir/nutmegweir/entry"
)

// A custom program can run an entry instance.
func ExampleOpen() {
	i, err := entry.Open("settings.hujson", os.Stderr)
	if err != nil {
		log.Fatal(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := i.Run(ctx); err != nil {
		log.Fatal(err)
	}
}
