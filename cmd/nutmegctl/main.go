// Command nutmegctl is the command of operators and callers.
package main

func main() {}
