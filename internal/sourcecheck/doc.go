// Package sourcecheck contains only tests. They check rules of this repository's source that the
// compiler and the linters do not check.
package sourcecheck
