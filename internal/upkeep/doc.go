// Package upkeep holds no code: its tests check rules of the source that the
// compiler and the linters don't know.
package upkeep
