//! Just enough HTTP/1.1 for the stand-ins.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A request or response head with its body.
pub struct Message {
    /// The first line.
    pub start: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        let mut words = self.start.split(' ');
        words.nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Channel {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ignored = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16 << 10];
        let count = self.stream.read(&mut buffer)?;
        self.ahead.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the channel ends before it.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(at) = self.ahead.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.ahead[..at]).into_owned();
                self.ahead.drain(..at + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.to_lowercase(), value.trim().to_owned()))
                });
                return Ok(Some(Message {
                    start,
                    headers: headers.collect(),
                    body: Vec::new(),
                }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a request with its body, which has a length or none.
    pub fn read_request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        let length = message.header("content-length");
        let length = length.and_then(|l| l.parse().ok()).unwrap_or(0);
        while self.ahead.len() < length {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        message.body = self.ahead.drain(..length).collect();
        Ok(Some(message))
    }

    /// Reads part of a body.
    pub fn read_some(&mut self, most: usize) -> io::Result<Vec<u8>> {
        if self.ahead.is_empty() {
            let mut buffer = vec![0; most];
            let count = self.stream.read(&mut buffer)?;
            buffer.truncate(count);
            return Ok(buffer);
        }
        let count = most.min(self.ahead.len());
        Ok(self.ahead.drain(..count).collect())
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// A response with a length.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}
