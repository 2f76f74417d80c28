//! HTTP/1.1 over blocking sockets: a server that leaves the bytes on the wire to its
//! handler, and a client that opens a channel for each request.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// A request, or a response: then `method` is empty and `status` is set.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub method: String,
    /// Path and query.
    pub target: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A parameter of the query; empty if there is none.
    pub fn query(&self, name: &str) -> &str {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        found.next().map_or("", |(_, value)| value)
    }
}

/// One channel of a server.
pub struct Channel {
    reader: BufReader<TcpStream>,
    pub stream: TcpStream,
}

impl Channel {
    /// The next request; `None` at the end of the channel.
    pub fn next(&mut self) -> Option<Message> {
        read_message(&mut self.reader).ok().flatten()
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// A listener and its channels.
pub struct Server {
    pub address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    thread: JoinHandle<()>,
}

impl Server {
    /// Closes the listener and all channels, like a process that ends.
    pub fn stop(self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        let _ = self.thread.join();
        for stream in self.streams.lock().expect("no listener panics").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// How often a listener looks for new channels.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// Listens on a free port; each channel gets a thread.
pub fn serve(handler: impl Fn(Channel) + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    serve_at(address, handler).map(|server| server.address)
}

/// As [`serve`], at `address`.
pub fn serve_at(
    address: SocketAddr,
    handler: impl Fn(Channel) + Send + Sync + 'static,
) -> io::Result<Server> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    let handler = Arc::new(handler);
    let is_stopped = Arc::new(AtomicBool::new(false));
    let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let (stopped, open) = (is_stopped.clone(), streams.clone());
    let thread = thread::spawn(move || {
        while !stopped.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                open.lock().expect("no listener panics").push(copy);
            }
            let handler = handler.clone();
            thread::spawn(move || {
                if let Ok(reader) = stream.try_clone() {
                    let reader = BufReader::new(reader);
                    handler(Channel { reader, stream });
                }
            });
        }
    });
    Ok(Server {
        address,
        is_stopped,
        streams,
        thread,
    })
}

/// The bytes of a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        409 => "Conflict",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Other",
    }
}

/// Sends a request over a new channel and reads the whole response.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let message = read_message(&mut BufReader::new(stream))?;
    message.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Reads one message; `None` if the channel ends before it.
fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let words: Vec<&str> = first.split_whitespace().collect();
    let mut message = Message::default();
    let is_response = first.starts_with("HTTP/");
    match words[..] {
        [_, status, ..] if is_response => message.status = status.parse().unwrap_or(0),
        [method, target, ..] => {
            message.method = method.to_owned();
            message.target = target.to_owned();
        }
        _ => return Err(io::ErrorKind::InvalidData.into()),
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        message
            .headers
            .push((name.to_owned(), value.trim().to_owned()));
    }
    let length = message
        .header("content-length")
        .and_then(|length| length.parse().ok());
    let is_chunked = message.header("transfer-encoding") == Some("chunked");
    if is_chunked {
        message.body = read_chunks(reader)?;
    } else if let Some(length) = length {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if is_response {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        reader.read_line(&mut String::new())?;
        if size == 0 {
            return Ok(body);
        }
    }
}

/// One part of a chunked body.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut part = format!("{:x}\r\n", bytes.len()).into_bytes();
    part.extend_from_slice(bytes);
    part.extend_from_slice(b"\r\n");
    part
}
