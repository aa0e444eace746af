// Command checksum records the checksums of the message definitions and of the
// code generated from them in checksums.txt of the working directory.
package main

import (
	"fmt"
	"os"

	"github.com/wisteriahaven/wisteriahaven/transport/internal/generated"
)

func main() {
	sums, err := generated.Checksums(os.DirFS("."))
	if err == nil {
		err = os.WriteFile(generated.ChecksumsFile, []byte(sums), 0o600)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
