// Package operatorfile parses the operator file, which configures the optional features of a controller. The file
// consists of sections with one directive per line:
//
//	file      = { line } .
//	line      = [ section | directive ] [ "#" comment ] newline .
//	section   = name { word } .              at the start of a line
//	directive = blank name { word } .        indented; it belongs to the section above
//	word      = plain | '"' { character | `\"` | `\\` } '"' .
//
// A duration has a unit (ms, s, m, h), and so has a size (B, KB, MB, in powers of 1024).
package operatorfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// FileError is an error in an operator file. Line is 0 if the file could not be read.
type FileError struct {
	File    string
	Line    int
	Problem string
	Fix     string
}

func (f FileError) Error() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s; %s", f.File, f.Problem, f.Fix)
	}
	return fmt.Sprintf("%s:%d: %s; %s", f.File, f.Line, f.Problem, f.Fix)
}

// FileErrors are all errors of an operator file, ordered by line.
type FileErrors []FileError

func (f FileErrors) Error() string {
	lines := make([]string, len(f))
	for i, fileError := range f {
		lines[i] = fileError.Error()
	}
	return strings.Join(lines, "\n")
}

type directive struct {
	name      string
	arguments []string
	line      int
}

type section struct {
	directive
	directives []directive
}

const maxLineBytes = 4096

// parser collects the errors of a file.
type parser struct {
	file   string
	errors FileErrors
}

func (p *parser) addError(line int, fix, problem string, args ...any) {
	p.errors = append(p.errors, FileError{p.file, line, fmt.Sprintf(problem, args...), fix})
}

// parseSections splits a text into sections.
func (p *parser) parseSections(text string) (all []section) {
	skip := false // the directives of a section whose first line is invalid
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		indented := strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t")
		words, fix, problem := splitWords(line)
		switch {
		case problem != "":
			p.addError(i+1, fix, "%s", problem)
			skip = skip || !indented
		case len(words) == 0:
		case !indented:
			all, skip = append(all, section{directive: directive{words[0], words[1:], i + 1}}), false
		case skip:
		case len(all) == 0:
			p.addError(i+1, "start a section first, such as: registry etcd", "%q is outside any section", words[0])
		default:
			s := &all[len(all)-1]
			s.directives = append(s.directives, directive{words[0], words[1:], i + 1})
		}
	}
	return all
}

// splitWords splits a line into words. For an invalid line it returns the problem and a fix.
func splitWords(line string) (words []string, fix, problem string) {
	if len(line) > maxLineBytes {
		return nil, "split it into several lines", fmt.Sprintf("the line exceeds %d bytes", maxLineBytes)
	}
	isInvalid := func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f || c == '\ufffd' }
	if at := strings.IndexFunc(line, isInvalid); at >= 0 {
		return nil, "write it in plain UTF-8 text", fmt.Sprintf("byte %d is not valid text", at+1)
	}
	for rest := strings.TrimLeft(line, " \t"); rest != "" && rest[0] != '#'; rest = strings.TrimLeft(rest, " \t") {
		var word string
		if rest[0] == '"' {
			word, rest, fix, problem = splitQuoted(rest)
		} else {
			word, rest, fix, problem = splitPlain(rest)
		}
		if problem != "" {
			return nil, fix, problem
		}
		words = append(words, word)
	}
	return words, "", ""
}

// splitPlain splits an unquoted word off a line.
func splitPlain(line string) (word, rest, fix, problem string) {
	end := strings.IndexAny(line, " \t#\"")
	if end < 0 {
		return line, "", "", ""
	}
	if line[end] == '"' {
		return "", "", "quote the whole word", fmt.Sprintf("a quote inside the word %q", line[:end])
	}
	return line[:end], line[end:], "", ""
}

// splitQuoted splits a quoted word off a line. A backslash escapes the next character.
func splitQuoted(line string) (word, rest, fix, problem string) {
	var b strings.Builder
	at := 1
	for ; at < len(line) && line[at] != '"'; at++ {
		if line[at] == '\\' && at+1 < len(line) {
			at++
		}
		b.WriteByte(line[at])
	}
	if at == len(line) {
		return "", "", `close it with "`, "a quoted word is not closed"
	}
	return b.String(), line[at+1:], "", ""
}

// suggest returns a fix for an unknown name: the most similar known name, or all of them if none is similar.
func suggest(name string, known []string) string {
	best := slices.MinFunc(known, func(a, b string) int {
		return cmp.Compare(editDistance(name, a), editDistance(name, b))
	})
	if editDistance(name, best) <= 1+len(name)/3 {
		return "write " + best
	}
	return "known names: " + strings.Join(known, ", ")
}

// editDistance returns the Levenshtein distance of two names.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		before := row[0]
		row[0] = i + 1
		for j := range len(b) {
			here := before
			if a[i] != b[j] {
				here++
			}
			before = row[j+1]
			row[j+1] = min(here, row[j+1]+1, row[j]+1)
		}
	}
	return row[len(b)]
}
