//! HTTP/1.1 messages on plain sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// A message that was read: a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The second word of the first line: the path of a request, the status of an answer.
    pub fn word(&self, at: usize) -> &str {
        self.start.split(' ').nth(at).unwrap_or("")
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(stream: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let field = line.trim_end();
        if field.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = field.split_once(':').unwrap_or((field, ""));
        let field = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(field);
    }
}

/// Reads the body of a message that has a length or chunks; `to_end` if it may end with its connection.
pub fn read_body(stream: &mut impl BufRead, message: &mut Message, to_end: bool) -> io::Result<()> {
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"));
    if is_chunked {
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = line.trim().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(io::Error::other)?;
        message.body = vec![0; length];
        return stream.read_exact(&mut message.body);
    }
    if to_end {
        stream.read_to_end(&mut message.body)?;
    }
    Ok(())
}

/// Listens on a free loopback port, and serves each connection on a thread.
pub fn listen(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _nodelay = stream.set_nodelay(true);
            thread::spawn(move || serve(stream));
        }
    });
    Ok(addr)
}

/// Formats an answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    text
}

/// A channel of a requester.
pub struct Channel {
    reader: BufReader<TcpStream>,
}

impl Channel {
    /// Opens a channel whose reads fail after `limit`.
    pub fn open(addr: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and reads the whole answer.
    pub fn call(&mut self, request: &str) -> io::Result<Message> {
        self.reader.get_mut().write_all(request.as_bytes())?;
        let head = read_head(&mut self.reader)?;
        let mut answer = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        read_body(&mut self.reader, &mut answer, true)?;
        Ok(answer)
    }
}
