// Command zinniapond schedules agent programs.
package main

import (
	"context"
	"os"

	"zinniapond.example/zinniapond/internal/core/inject"
	"zinniapond.example/zinniapond/internal/rootcmd/root"
)

func main() {
	os.Exit(root.Main(context.Background(), os.Args[1:], inject.New()))
}
