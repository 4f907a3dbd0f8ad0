package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as PROTOCOL.md and the settings of a small deployment state them.
const (
	recordBytes = 262144
	callBytes   = 2097152
	keptBytes   = 400 << 20
	// answerTime is the usual latency of an answer.
	answerTime = 4 * time.Millisecond
)

// appendCall is an append that has arrived at the store.
type appendCall struct {
	topic, part, producer string
	// first is true for the first append of a producer to a partition.
	first bool
	bytes int
}

// store is the platform's metadata store: a log with topics and partitions.
type store struct {
	mu      sync.Mutex
	parts   map[string]*partition
	grown   chan struct{}
	total   int
	writes  int
	late    int
	refused int
	// delay returns after which time an append is done without an answer; 0 means that it is
	// done and answered now. It may be nil.
	delay func(c appendCall) time.Duration
	// keeps is MaxQueueS: how long records are kept; 0 is longer than any run.
	keeps time.Duration
}

// partition holds the records from the offset first on; older ones have been dropped.
type partition struct {
	first     int
	records   [][]byte
	times     []time.Time
	producers map[string]*producer
	// newest holds the newest record of each key, for good.
	newest map[string]newestItem
}

type newestItem struct {
	Key, Value string
	Offset     int
}

func (p *partition) end() int { return p.first + len(p.records) }

// producer is the state of one producer in one partition.
type producer struct {
	epoch, seq int64
	// recent holds the answers to the last five sequence numbers.
	recent map[int64]int
}

func newStore() *store {
	return &store{parts: map[string]*partition{}, grown: make(chan struct{})}
}

func (s *store) partition(name string) *partition {
	p := s.parts[name]
	if p == nil {
		p = &partition{producers: map[string]*producer{}, newest: map[string]newestItem{}}
		s.parts[name] = p
	}
	for s.keeps > 0 && len(p.records) > 0 && time.Since(p.times[0]) > s.keeps {
		s.total -= len(p.records[0])
		p.first++
		p.records, p.times = p.records[1:], p.times[1:]
	}
	return p
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	name := q.Get("Topic") + "." + q.Get("part")
	switch r.URL.Path {
	case "/croftmoor/log-append":
		s.serveAppend(w, r, q, name)
	case "/croftmoor/log-read":
		s.serveRead(w, r, q, name)
	case "/croftmoor/log-newest":
		s.serveNewest(w, q, name)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, q url.Values, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := splitRecords(body)
	if !ok || len(body) > callBytes || q.Get("Topic") == "keyed.servers" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call := appendCall{topic: q.Get("Topic"), part: q.Get("part"), producer: q.Get("Producer"), bytes: len(body)}
	s.mu.Lock()
	s.writes++
	call.first = s.partition(name).producers[call.producer] == nil
	delay := s.delay
	s.mu.Unlock()
	if delay != nil {
		if d := delay(call); d > 0 {
			s.mu.Lock()
			s.late++
			s.mu.Unlock()
			time.AfterFunc(d, func() { s.append(name, q, records) })
			hang(w)
			return
		}
	}
	status, answer := s.append(name, q, records)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, answer)
}

// hang keeps a connection without an answer until its peer closes it.
func hang(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}()
}

// append does an append and returns its answer.
func (s *store) append(name string, q url.Values, records [][]byte) (status int, answer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(name)
	size := 0
	for _, r := range records {
		size += len(r)
	}
	if s.total+size > keptBytes {
		s.refused++
		return http.StatusInsufficientStorage, `{"why":"full"}`
	}
	if text := q.Get("AsOf"); text != "" && text != strconv.Itoa(p.end()) {
		return http.StatusPreconditionFailed, fmt.Sprintf(`{"End":%d}`, p.end())
	}
	if id := q.Get("Producer"); id != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		seq, _ := strconv.ParseInt(q.Get("Seq"), 10, 64)
		known := p.producers[id]
		switch {
		case known == nil || epoch > known.epoch:
			p.producers[id] = &producer{epoch: epoch, seq: seq, recent: map[int64]int{seq: p.end()}}
		case epoch < known.epoch:
			return http.StatusConflict, `{"why":"fenced"}`
		default:
			if offset, again := known.recent[seq]; again {
				return http.StatusOK, fmt.Sprintf(`{"Offset":%d,"End":%d}`, offset, p.end())
			}
			if seq != known.seq+1 {
				return http.StatusConflict, fmt.Sprintf(`{"why":"seq","Seq":%d}`, known.seq+1)
			}
			known.seq = seq
			known.recent[seq] = p.end()
			delete(known.recent, seq-5)
		}
	}
	offset := p.end()
	for n, record := range records {
		p.records, p.times = append(p.records, record), append(p.times, time.Now())
		if strings.HasPrefix(name, "keyed.") {
			p.keep(record, offset+n)
		}
	}
	s.total += size
	close(s.grown)
	s.grown = make(chan struct{})
	return http.StatusOK, fmt.Sprintf(`{"Offset":%d,"End":%d}`, offset, p.end())
}

// keep notes a record of a keyed topic; one without a value drops its key.
func (p *partition) keep(record []byte, offset int) {
	key, value := string(record[1:1+record[0]]), record[1+record[0]:]
	if len(value) == 0 {
		delete(p.newest, key)
		return
	}
	p.newest[key] = newestItem{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: offset}
}

func splitRecords(body []byte) (records [][]byte, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > recordBytes || n > len(body)-4 {
			return nil, false
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	return records, true
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, q url.Values, name string) {
	from, _ := strconv.Atoi(q.Get("From"))
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	most, err := strconv.Atoi(q.Get("MaxKb"))
	if err != nil || most <= 0 {
		most = 1024
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for over := wait == 0; ; {
		s.mu.Lock()
		p := s.partition(name)
		first, records, grown := p.first, p.records, s.grown
		s.mu.Unlock()
		if from < first {
			w.WriteHeader(http.StatusGone)
			_, _ = fmt.Fprintf(w, `{"First":%d}`, first)
			return
		}
		if from < first+len(records) || over {
			body := binary.BigEndian.AppendUint64(nil, uint64(first+len(records)))
			body = binary.BigEndian.AppendUint64(body, uint64(first))
			for n := from - first; n < len(records) && len(body) < most*1024; n++ {
				body = binary.BigEndian.AppendUint32(body, uint32(len(records[n])))
				body = append(body, records[n]...)
			}
			_, _ = w.Write(body)
			return
		}
		select {
		case <-timeout:
			over = true
		case <-grown:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, q url.Values, name string) {
	s.mu.Lock()
	p := s.partition(name)
	end := p.end()
	items := []newestItem{}
	for key, i := range p.newest {
		if key > q.Get("AfterRev") {
			items = append(items, i)
		}
	}
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Items": items, "MorePages": more, "End": end})
}

// put writes a keyed record, as the operator and the engines do; nil drops the key.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	record := append([]byte{byte(len(key))}, key...)
	s.append(topic+".0", url.Values{}, [][]byte{append(record, data...)})
}

// counts tells what the store has done.
func (s *store) counts() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	topics := map[string]int{}
	for name, p := range s.parts {
		topics[name[:strings.LastIndexByte(name, '.')]] += p.end()
	}
	return fmt.Sprintf("store: %d appends, %d of them done late without an answer, %d refused as full, %d bytes kept, records by topic %v", s.writes, s.late, s.refused, s.total, topics)
}
