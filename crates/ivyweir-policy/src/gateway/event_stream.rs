//! Server-sent events in a body that arrives in pieces.
//!
//! A line ends with LF, CRLF or CR, and an event with an empty line. A piece may end anywhere, also between the two bytes
//! of a CRLF.

/// Finds out how much of a stream may be passed on: all up to the end of the last event. Each byte is looked at once.
#[derive(Debug, Clone, Default)]
pub struct EventScanner {
    line: Line,
    /// Whether a line of an event has begun since the last empty line.
    is_event_open: bool,
    /// Whether the last byte was a CR, with which an LF would end the same line.
    after_cr: bool,
}

/// What is known of the current line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

impl EventScanner {
    /// Looks at the next piece of the body. Returns the number of its bytes up to the last point at which no event is
    /// open; `None` if there is no such point. Comments between events end at such a point too.
    pub fn scan(&mut self, piece: &[u8]) -> Option<usize> {
        let mut whole = None;
        for (at, &byte) in piece.iter().enumerate() {
            if self.scan_byte(byte) {
                whole = Some(at + 1);
            }
        }
        whole
    }

    /// Whether the bytes so far end inside an event.
    pub fn is_event_open(&self) -> bool {
        self.is_event_open
    }

    /// Returns whether the byte ends a line behind which no event is open.
    fn scan_byte(&mut self, byte: u8) -> bool {
        let after_cr = std::mem::replace(&mut self.after_cr, byte == b'\r');
        match byte {
            b'\n' if after_cr => !self.is_event_open,
            b'\n' | b'\r' => {
                if std::mem::take(&mut self.line) == Line::Empty {
                    self.is_event_open = false;
                }
                !self.is_event_open
            }
            b':' if self.line == Line::Empty => {
                self.line = Line::Comment;
                false
            }
            _ => {
                if self.line == Line::Empty {
                    self.line = Line::Field;
                    self.is_event_open = true;
                }
                false
            }
        }
    }
}

/// What identifies an event when its stream is resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventId {
    /// The event has no id of its own.
    Missing,
    /// The id is a number.
    Number(u64),
    /// The id is not a number.
    Other,
}

/// An event of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Its id.
    pub id: EventId,
    /// Whether it has data. Without data, callers do not see it.
    pub has_data: bool,
}

/// Returns the events in bytes that end where no event is open.
pub fn events(whole: &[u8]) -> impl Iterator<Item = Event> {
    let mut lines = lines(whole);
    std::iter::from_fn(move || {
        let mut event = None;
        for line in lines.by_ref() {
            if !line.is_empty() {
                read_field(line, &mut event);
            } else if event.is_some() {
                return event;
            }
        }
        event
    })
}

/// Reads a line of an event; comments are not part of it.
fn read_field(line: &[u8], event: &mut Option<Event>) {
    let colon = line.iter().position(|byte| *byte == b':');
    let (name, value) = match colon {
        Some(0) => return,
        Some(at) => (&line[..at], &line[at + 1..]),
        None => (line, &[][..]),
    };
    let event = event.get_or_insert(Event {
        id: EventId::Missing,
        has_data: false,
    });
    match name {
        b"data" => event.has_data = true,
        b"id" => {
            let number = std::str::from_utf8(value).map(|value| value.trim().parse());
            event.id = match number {
                Ok(Ok(number)) => EventId::Number(number),
                _ => EventId::Other,
            };
        }
        _ => {}
    }
}

/// Splits bytes into lines, without their ends.
fn lines(mut bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        if bytes.is_empty() {
            return None;
        }
        let end = bytes.iter().position(|byte| matches!(byte, b'\n' | b'\r'));
        let (line, rest) = bytes.split_at(end.unwrap_or(bytes.len()));
        let end_bytes = match rest {
            [b'\r', b'\n', ..] => 2,
            [] => 0,
            _ => 1,
        };
        bytes = &rest[end_bytes..];
        Some(line)
    })
}

/// How far a caller has received a stream.
#[derive(Debug, Clone)]
pub struct StreamPosition {
    last_id: Option<u64>,
    events: u32,
    is_known: bool,
}

impl StreamPosition {
    /// The position of a caller that has the events up to `last_id`, or none.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            events: 0,
            is_known: true,
        }
    }

    /// Records that an event was passed on; returns whether it counts as one.
    pub fn record(&mut self, event: Event) -> bool {
        match event.id {
            EventId::Number(id) => {
                self.last_id = Some(id);
                self.is_known = true;
            }
            EventId::Missing if !event.has_data => return false,
            EventId::Missing | EventId::Other => self.is_known = false,
        }
        self.events += 1;
        true
    }

    /// Records that bytes were passed on that are not events.
    pub fn record_other_bytes(&mut self) {
        self.is_known = false;
    }

    /// Id of the last event that has a number for its id.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of events that were passed on.
    pub fn events(&self) -> u32 {
        self.events
    }

    /// Whether the stream can be resumed here: by the id of the last event, or from the beginning as there was none.
    pub fn can_be_resumed(&self) -> bool {
        self.is_known
    }
}
