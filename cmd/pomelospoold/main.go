// Command pomelospoold is the entry daemon; every VM runs a copy alike.
package main

func main() {}
