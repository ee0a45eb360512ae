// Package docscheck tests that the names and log texts that the documentation quotes exist in the source.
package docscheck
