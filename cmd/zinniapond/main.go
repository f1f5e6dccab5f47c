// Command zinniapond schedules agent programs.
package main

func main() {}
