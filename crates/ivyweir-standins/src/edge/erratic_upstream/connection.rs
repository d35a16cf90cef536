//! A connection of an upstream.

use std::io::{self, BufReader, Write};
use std::mem::MaybeUninit;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use socket2::SockRef;

use super::conduct::{Conduct, Rejection, Run, RunEnd, Then};
use super::message::{self, Head};
use super::{Fate, Handled, Shared, wait_until, wake};

/// Time for which a connection stays open on which nothing is sent any more.
const SILENCE: Duration = Duration::from_secs(4);
/// Time for which an upstream is gone that a harmful request ended.
const DOWN_TIME: Duration = Duration::from_millis(400);
const MSG_PEEK: i32 = 2;
const MSG_DONTWAIT: i32 = 0x40;

/// Whether the connection goes on.
#[derive(Debug, PartialEq, Eq)]
enum Next {
    Request,
    End,
}

/// A connection.
pub(super) struct Connection<'s> {
    shared: &'s Shared,
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    number: u64,
    position: u64,
    /// The process of the upstream that accepted the connection.
    life: u64,
    /// Time after which the connection is closed unless a request comes.
    idle: Option<Duration>,
    /// An answer that is sent again before the next one.
    repeated: Option<String>,
}

impl<'s> Connection<'s> {
    pub fn new(shared: &'s Shared, stream: TcpStream, number: u64) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            shared,
            reader: BufReader::with_capacity(1 << 10, stream.try_clone()?),
            stream,
            number,
            position: 0,
            life: shared.state().life,
            idle: None,
            repeated: None,
        })
    }

    /// Serves requests until the connection ends.
    pub fn serve(mut self) -> io::Result<()> {
        while self.serve_request()? == Next::Request {}
        Ok(())
    }

    fn serve_request(&mut self) -> io::Result<Next> {
        if self.reader.buffer().is_empty() {
            self.stream.set_read_timeout(self.idle.take())?;
            // Without a request in time, the connection ends by the error.
            if self.stream.peek(&mut [0])? == 0 {
                return Ok(Next::End);
            }
            self.stream.set_read_timeout(None)?;
        }
        wait_until(|| self.shared.state().paused_until);
        let number = self.shared.requests.fetch_add(1, Ordering::SeqCst);
        let conduct = self.choose_conduct(number);
        if conduct == Conduct::CloseUnread {
            return Ok(Next::End);
        }
        let Some(head) = Head::read(&mut self.reader)? else {
            return Ok(Next::End);
        };
        self.position += 1;
        if head.method == "OPTIONS" {
            let text = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            self.stream.write_all(text.as_bytes())?;
            return Ok(Next::Request);
        }
        let name = self.shared.state().name.clone();
        if head
            .expected_upstream
            .as_deref()
            .is_some_and(|expected| *expected != *name)
        {
            return self.reject(&head, &Rejection::OTHER_INCARNATION);
        }
        match conduct {
            Conduct::Run(_) if head.is_long() => {
                let run = Run::long(&mut StdRng::seed_from_u64(number));
                self.run(&head, &run)
            }
            Conduct::Run(run) => self.run(&head, &run),
            Conduct::Reject(rejection) => self.reject(&head, &rejection),
            Conduct::CloseUnread | Conduct::CloseRead => {
                head.read_body(&mut self.reader);
                Ok(Next::End)
            }
        }
    }

    fn choose_conduct(&self, number: u64) -> Conduct {
        let conduct = (self.shared.plan)(number);
        let is_rejecting = self.shared.state().rejects_until > Instant::now();
        match conduct {
            Conduct::Run(_) if is_rejecting => {
                Conduct::Reject(Rejection::choose(&mut StdRng::seed_from_u64(number)))
            }
            conduct => conduct,
        }
    }

    /// Records what becomes of a request, unless the process has ended meanwhile.
    fn note(&self, id: &str, fate: Fate) -> io::Result<()> {
        let mut state = self.shared.state();
        if state.life != self.life {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let handled = Handled {
            id: id.to_owned(),
            fate,
            at: Instant::now(),
            connection: self.number,
            position: self.position,
            upstream: state.name.clone(),
        };
        state.handled.push(handled);
        Ok(())
    }

    fn note_run(&self, head: &Head) -> io::Result<()> {
        let is_client_gone = self.is_client_gone();
        self.note(&head.id, Fate::Ran { is_client_gone })
    }

    fn is_client_gone(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let received =
            SockRef::from(&self.stream).recv_with_flags(&mut byte, MSG_PEEK | MSG_DONTWAIT);
        match received {
            Ok(length) => length == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }

    fn run(&mut self, head: &Head, run: &Run) -> io::Result<Next> {
        if run.begins_at_head {
            self.note_run(head)?;
        }
        if !head.read_body(&mut self.reader) {
            return Ok(Next::End);
        }
        if !run.begins_at_head {
            self.note_run(head)?;
        }
        if run.is_announced {
            self.announce(head)?;
        }
        thread::sleep(run.work);
        if head.is_harmful() {
            self.shared.end_process(DOWN_TIME);
            wake(self.stream.local_addr()?);
            return Ok(Next::End);
        }
        if let Some(id) = run.foreign_rejection {
            self.repeated = Some(message::foreign_rejection(id));
        }
        self.idle = run.idle;
        let name = self.shared.state().name.clone();
        let parts = head.answer(run, &name);
        match run.end {
            RunEnd::Answer | RunEnd::AnswerTwice => {
                self.write_repeated()?;
                for part in &parts {
                    self.stream.write_all(part.as_bytes())?;
                    thread::sleep(if parts.len() > 1 {
                        run.gap
                    } else {
                        Duration::ZERO
                    });
                }
                if run.end == RunEnd::AnswerTwice {
                    self.repeated = Some(parts.concat());
                }
                Ok(Next::Request)
            }
            RunEnd::Truncate => {
                let text = parts.concat();
                self.stream.write_all(&text.as_bytes()[..text.len() - 9])?;
                Ok(Next::End)
            }
            RunEnd::Close => Ok(Next::End),
            RunEnd::Reset => self.reset(),
            RunEnd::Silence => {
                thread::sleep(SILENCE);
                Ok(Next::End)
            }
        }
    }

    fn reject(&mut self, head: &Head, rejection: &Rejection) -> io::Result<Next> {
        if !rejection.is_early && !head.read_body(&mut self.reader) {
            return Ok(Next::End);
        }
        thread::sleep(rejection.after);
        self.note(&head.id, Fate::Rejected(rejection.status))?;
        if rejection.is_announced {
            self.announce(head)?;
        }
        self.write_repeated()?;
        let text = head.rejection(rejection);
        let (first, rest) = text.as_bytes().split_at(text.len() * 2 / 3);
        self.stream.write_all(first)?;
        if let Some(pause) = rejection.split {
            thread::sleep(pause);
        }
        if rejection.then == Then::BreakOff {
            return Ok(Next::End);
        }
        self.stream.write_all(rest)?;
        match rejection.then {
            Then::Keep | Then::RejectAgain => {
                if rejection.is_early && !head.read_body(&mut self.reader) {
                    return Ok(Next::End);
                }
                if rejection.then == Then::RejectAgain {
                    self.repeated = Some(text);
                }
                Ok(Next::Request)
            }
            Then::Reset => self.reset(),
            Then::CloseSaid | Then::Close | Then::BreakOff => Ok(Next::End),
        }
    }

    /// Sends an informational response.
    fn announce(&mut self, head: &Head) -> io::Result<()> {
        let text = format!(
            "HTTP/1.1 103 Early Hints\r\nivyweir-request-id: {}\r\n\r\n",
            head.id
        );
        self.stream.write_all(text.as_bytes())
    }

    fn write_repeated(&mut self) -> io::Result<()> {
        let repeated = self.repeated.take().unwrap_or_default();
        self.stream.write_all(repeated.as_bytes())
    }

    fn reset(&self) -> io::Result<Next> {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
        Ok(Next::End)
    }
}
