package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// partition is one partition of a topic, with the state of its producers.
type partition struct {
	records   [][]byte
	producers map[string]*producer
}

// producer is what a partition remembers of a producer: its epoch, its last sequence number and
// the offsets of its last appends.
type producer struct {
	epoch, last int64
	offsets     map[int64]int
}

// rememberedAppends is how many of a producer's last appends get their first answer again.
const rememberedAppends = 5

// store is the platform's metadata store in its log form: appends with producers, reads that wait,
// and the newest record of each key.
type store struct {
	mu      sync.Mutex
	parts   map[string]*partition
	changed chan struct{}
}

func newStore() *store {
	return &store{parts: map[string]*partition{}, changed: make(chan struct{})}
}

// answerTime is how long the store takes for an answer, appendTime how long a partition takes for
// an append.
const (
	answerTime = 4 * time.Millisecond
	appendTime = 1 * time.Millisecond
	maxWait    = 30 * time.Second
	defaultKB  = 1024
)

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	name := q.Get("Topic") + "." + q.Get("part")
	switch r.URL.Path {
	case "/croftmoor/log-append":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if topic := q.Get("Topic"); topic == "keyed.servers" || topic == "keyed.op" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		s.append(w, name, q.Get("Producer"), number(q.Get("epoch")), number(q.Get("Seq")), split(body))
	case "/croftmoor/log-read":
		s.read(w, r, name)
	case "/croftmoor/log-newest":
		s.newest(w, name, q.Get("AfterRev"))
	default:
		http.NotFound(w, r)
	}
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

func split(body []byte) [][]byte {
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	return records
}

// part returns a partition; the caller holds mu.
func (s *store) part(name string) *partition {
	p := s.parts[name]
	if p == nil {
		p = &partition{producers: map[string]*producer{}}
		s.parts[name] = p
	}
	return p
}

// add appends records; the caller holds mu.
func (s *store) add(p *partition, records [][]byte) int {
	offset := len(p.records)
	p.records = append(p.records, records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (s *store) append(w http.ResponseWriter, name, who string, epoch, seq int64, records [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	time.Sleep(appendTime)
	p := s.part(name)
	done := func(offset int) {
		writeJSON(w, http.StatusOK, map[string]any{"Offset": offset, "End": len(p.records)})
	}
	if who == "" {
		done(s.add(p, records))
		return
	}
	of := p.producers[who]
	switch {
	case of == nil || epoch > of.epoch:
		of = &producer{epoch: epoch, last: seq - 1, offsets: map[int64]int{}}
		p.producers[who] = of
	case epoch < of.epoch:
		writeJSON(w, http.StatusConflict, map[string]any{"why": "fenced"})
		return
	}
	if offset, known := of.offsets[seq]; known {
		done(offset)
		return
	}
	if seq != of.last+1 {
		writeJSON(w, http.StatusConflict, map[string]any{"why": "seq", "Seq": of.last + 1})
		return
	}
	offset := s.add(p, records)
	of.last, of.offsets[seq] = seq, offset
	delete(of.offsets, seq-rememberedAppends)
	done(offset)
}

func (s *store) read(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from, kb := int(number(q.Get("From"))), int(number(q.Get("MaxKb")))
	if kb <= 0 {
		kb = defaultKB
	}
	timeout := time.After(min(time.Duration(number(q.Get("WaitMs")))*time.Millisecond, maxWait))
	for over := false; ; {
		s.mu.Lock()
		records, changed := s.part(name).records, s.changed
		s.mu.Unlock()
		if from < len(records) || over {
			writeRecords(w, len(records), records[min(from, len(records)):], kb<<10)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w io.Writer, end int, records [][]byte, most int) {
	body := binary.BigEndian.AppendUint64(nil, uint64(end))
	body = binary.BigEndian.AppendUint64(body, 0)
	for n, record := range records {
		if n > 0 && len(body)+len(record) > most {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	_, _ = w.Write(body)
}

func (s *store) newest(w http.ResponseWriter, name, after string) {
	const mostItems = 500
	s.mu.Lock()
	records := s.part(name).records
	s.mu.Unlock()
	newest := map[string]int{}
	for offset, record := range records {
		key := string(record[1 : 1+int(record[0])])
		if len(record) == 1+len(key) {
			delete(newest, key)
		} else {
			newest[key] = offset
		}
	}
	keys := make([]string, 0, len(newest))
	for key := range newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > mostItems
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), mostItems)] {
		value := records[newest[key]][1+len(key):]
		items = append(items, map[string]any{"Key": key, "Value": base64.StdEncoding.EncodeToString(value), "Offset": newest[key]})
	}
	writeJSON(w, http.StatusOK, map[string]any{"Items": items, "MorePages": more, "End": len(records)})
}

// put writes a keyed record, as the operator, the trainers and the engines do; nil drops the key.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.part(topic+".0"), [][]byte{append(record, data...)})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("unencodable answer: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// hasPrefix reports whether a path lies under one of the prefixes.
func hasPrefix(path string, prefixes ...string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(path, p) {
			return true
		}
	}
	return false
}
