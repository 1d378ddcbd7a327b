//! Blocking HTTP/1.1 on plain sockets, for the stand-ins.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The first line.
    pub line: String,
    /// Fields by their names in lower case.
    pub fields: BTreeMap<String, String>,
}

impl Head {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        self.field("transfer-encoding").to_ascii_lowercase().contains("chunked")
    }
}

/// A connection that is read message by message.
pub struct Wire {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new() }
    }

    /// Connects from any address of this machine.
    pub fn connect(ip: Ipv4Addr, port: u16) -> io::Result<Self> {
        let address = SocketAddr::from((ip, port));
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 64 * 1024];
        let count = self.stream.read(&mut buffer)?;
        self.ahead.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ends before it begins.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.ahead.windows(4).position(|four| four == b"\r\n\r\n") {
                let bytes: Vec<u8> = self.ahead.drain(..end + 4).collect();
                return Ok(Some(parse_head(&bytes)));
            }
            if self.fill()? == 0 {
                return if self.ahead.is_empty() { Ok(None) } else { Err(broken_off()) };
            }
        }
    }

    /// Reads up to `most` bytes of a body.
    pub fn read_some(&mut self, most: usize) -> io::Result<Vec<u8>> {
        if self.ahead.is_empty() && self.fill()? == 0 {
            return Err(broken_off());
        }
        let count = most.min(self.ahead.len());
        Ok(self.ahead.drain(..count).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|two| two == b"\r\n") {
                let bytes: Vec<u8> = self.ahead.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&bytes[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(broken_off());
            }
        }
    }

    fn read_exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::with_capacity(count);
        while bytes.len() < count {
            bytes.extend(self.read_some(count - bytes.len())?);
        }
        Ok(bytes)
    }

    /// Reads the body that belongs to a head. `is_answer`: a body without a length ends with the connection.
    pub fn read_body(&mut self, head: &Head, is_answer: bool) -> io::Result<Vec<u8>> {
        if head.is_chunked() {
            let mut body = Vec::new();
            loop {
                let line = self.read_line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16)
                    .map_err(io::Error::other)?;
                if size == 0 {
                    while !self.read_line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.read_exactly(size)?);
                self.read_line()?;
            }
        }
        if let Ok(length) = head.field("content-length").parse() {
            return self.read_exactly(length);
        }
        if !is_answer || head.status() == 204 || head.status() == 304 {
            return Ok(Vec::new());
        }
        while self.fill()? > 0 {}
        Ok(std::mem::take(&mut self.ahead))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn broken_off() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the connection ended within a message")
}

fn parse_head(bytes: &[u8]) -> Head {
    let text = String::from_utf8_lossy(bytes);
    let mut lines = text.split("\r\n");
    let line = lines.next().unwrap_or_default().to_owned();
    let fields = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    Head { line, fields }
}

/// Sends a request on a connection of its own and reads the whole answer.
pub fn exchange(ip: Ipv4Addr, port: u16, request: &[u8], longest: Duration) -> io::Result<(Head, Vec<u8>)> {
    let mut wire = Wire::connect(ip, port)?;
    wire.stream.set_read_timeout(Some(longest))?;
    wire.stream.set_write_timeout(Some(longest))?;
    wire.write(request)?;
    let head = wire.read_head()?.ok_or_else(broken_off)?;
    let body = wire.read_body(&head, true)?;
    Ok((head, body))
}
