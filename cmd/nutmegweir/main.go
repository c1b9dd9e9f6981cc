// Command nutmegweir runs one entry instance.
package main

func main() {}
