//! A sound server of a plain service: it runs each request for a fixed time.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{answer, listen, read_body, read_head};
use crate::record::Record;

/// The servers that ran each request.
pub type Runs = Arc<Mutex<HashMap<String, Vec<String>>>>;

/// Starts a server; returns its address.
pub fn start(
    id: &str,
    work: Duration,
    runs: &Runs,
    record: &Record,
) -> std::io::Result<SocketAddr> {
    let (id, runs, record) = (id.to_owned(), runs.clone(), record.clone());
    listen(move |stream| serve(&id, work, &runs, &record, stream))
}

fn serve(id: &str, work: Duration, runs: &Runs, record: &Record, stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(mut request)) = read_head(&mut reader) {
        if read_body(&mut reader, &mut request, false).is_err() {
            return;
        }
        let of = request
            .header("x-ivyweir-request-id")
            .unwrap_or("")
            .to_owned();
        let text = if request.word(1) == "/health" {
            answer("200 OK", &[("X-Ivyweir-Instance-Id", id)], "")
        } else if request.header("x-ivyweir-expect-instance") != Some(id) {
            let headers = [
                ("X-Ivyweir-Request-Id", of.as_str()),
                ("X-Ivyweir-Instance-Id", id),
            ];
            answer("421 Misdirected Request", &headers, "")
        } else {
            record.line(format!("server {id} runs {of}"));
            let mut known = runs.lock().expect("no holder panics");
            known.entry(of.clone()).or_default().push(id.to_owned());
            drop(known);
            thread::sleep(work);
            let headers = [
                ("X-Ivyweir-Request-Id", of.as_str()),
                ("X-Ivyweir-Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"),
                ("X-Ivyweir-Server-Load", "1,0,6"),
            ];
            answer("200 OK", &headers, &format!("done {of}"))
        };
        if writer.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}
