//! Messages of HTTP/1.1, as far as the stand-ins need them.

use std::io::{self, Read};
use std::net::TcpStream;

/// One message: its first line, its fields and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads messages from one connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 64 * 1024];
        let count = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count)
    }

    /// The head of the next message; none where the connection ends before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let fields = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Ok(Some(Message { line, fields, body: Vec::new() }))
    }

    /// How many bytes were read beyond the last head or body.
    pub fn rest(&self) -> usize {
        self.buffer.len()
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// The body of a message: by its length, or in chunks.
    pub fn body(&mut self, message: &mut Message) -> io::Result<()> {
        if message.field("transfer-encoding").is_some_and(|value| value.to_ascii_lowercase().contains("chunked")) {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(());
                }
                let piece = self.take(size)?;
                message.body.extend_from_slice(&piece);
                self.take(2)?;
            }
        }
        let length = message.field("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        message.body = self.take(length)?;
        Ok(())
    }

    /// The next whole message; none where the connection ends before its first byte.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        self.body(&mut message)?;
        Ok(Some(message))
    }
}
