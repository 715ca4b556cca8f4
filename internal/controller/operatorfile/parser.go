// Package operatorfile reads the operator file: what a controller may do beyond the platform, in sections of one
// directive a line. Its grammar stands here in one place:
//
//	file      = { line } .
//	line      = [ section | directive ] [ "#" comment ] newline .
//	section   = name { word } .              at the beginning of a line
//	directive = blank name { word } .        indented; it belongs to the section above
//	word      = plain | '"' { character | `\"` | `\\` } '"' .
//
// Spans carry a unit (ms, s, m, h), sizes too (B, KB, MB, of 1024), parts are percentages.
package operatorfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// FileError is one thing that is wrong with a file.
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

// FileErrors are all that are wrong with a file, in the order of its lines.
type FileErrors []FileError

func (f FileErrors) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.Error()
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
	inner []directive
}

const maxLineBytes = 4096

// reader keeps the faults met.
type reader struct {
	file   string
	faults FileErrors
}

func (r *reader) fault(line int, mend, what string, args ...any) {
	r.faults = append(r.faults, FileError{r.file, line, fmt.Sprintf(what, args...), mend})
}

// sections splits a text.
func (r *reader) sections(text string) (all []section) {
	lost := false // directives of a section that could not be read are not looked at
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		indented := strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t")
		words, mend, what := split(line)
		switch {
		case what != "":
			r.fault(i+1, mend, "%s", what)
			lost = lost || !indented
		case len(words) == 0:
		case !indented:
			all, lost = append(all, section{directive: directive{words[0], words[1:], i + 1}}), false
		case lost:
		case len(all) == 0:
			r.fault(i+1, "begin a section first, such as: registry etcd", "%q stands in no section", words[0])
		default:
			s := &all[len(all)-1]
			s.inner = append(s.inner, directive{words[0], words[1:], i + 1})
		}
	}
	return all
}

// split takes a line apart; where it cannot, it says what is wrong and how to mend it.
func split(line string) (words []string, mend, what string) {
	if len(line) > maxLineBytes {
		return nil, "split it into several lines", fmt.Sprintf("the line has over %d bytes", maxLineBytes)
	}
	isNoText := func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f || c == '\ufffd' }
	if at := strings.IndexFunc(line, isNoText); at >= 0 {
		return nil, "write it in plain UTF-8 text", fmt.Sprintf("byte %d is no text", at+1)
	}
	for rest := strings.TrimLeft(line, " \t"); rest != "" && rest[0] != '#'; rest = strings.TrimLeft(rest, " \t") {
		var word string
		if rest[0] == '"' {
			word, rest, mend, what = splitQuoted(rest)
		} else {
			word, rest, mend, what = splitPlain(rest)
		}
		if what != "" {
			return nil, mend, what
		}
		words = append(words, word)
	}
	return words, "", ""
}

// splitPlain takes a word without quotes off a line.
func splitPlain(line string) (word, rest, mend, what string) {
	end := strings.IndexAny(line, " \t#\"")
	if end < 0 {
		return line, "", "", ""
	}
	if line[end] == '"' {
		return "", "", "put the whole word into quotes", fmt.Sprintf("a quote within the word %q", line[:end])
	}
	return line[:end], line[end:], "", ""
}

// splitQuoted takes a word in quotes off a line; a backslash stands before a quote or a backslash within.
func splitQuoted(line string) (word, rest, mend, what string) {
	var b strings.Builder
	at := 1
	for ; at < len(line) && line[at] != '"'; at++ {
		if line[at] == '\\' && at+1 < len(line) {
			at++
		}
		b.WriteByte(line[at])
	}
	if at == len(line) {
		return "", "", `end it with "`, "a quote is not ended"
	}
	return b.String(), line[at+1:], "", ""
}

// nearest is the known name that a wrong one was meant to be, or all of them.
func nearest(name string, known []string) string {
	best := slices.MinFunc(known, func(a, b string) int { return cmp.Compare(distance(name, a), distance(name, b)) })
	if distance(name, best) <= 1+len(name)/3 {
		return "write " + best
	}
	return "known here: " + strings.Join(known, ", ")
}

// distance counts the letters to put in, take out or change between two names.
func distance(a, b string) int {
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
