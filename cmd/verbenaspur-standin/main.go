// Command verbenaspur-standin is described in README.md.
package main

func main() {}
