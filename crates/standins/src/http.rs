//! A minimal HTTP/1.1 parser for servers that violate the protocol in ways that a library would not
//! allow.

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpStream};

use crate::error::Error;

/// Request line and headers of a request.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
}

impl RequestHead {
    /// Reads the next request head; `None` when the connection was closed.
    ///
    /// # Errors
    ///
    /// The head is malformed or the connection failed.
    pub fn read(
        reader: &mut BufReader<TcpStream>,
        peer: SocketAddr,
    ) -> Result<Option<Self>, Error> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let mut words = line.split_whitespace().map(str::to_owned);
        let (method, target) = words.next().zip(words.next()).ok_or(Error::Malformed(peer))?;
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let line = line.trim_end();
            if line.is_empty() {
                return Ok(Some(Self { method, target, headers }));
            }
            let (name, value) = line.split_once(':').ok_or(Error::Malformed(peer))?;
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns the value of a query parameter, without decoding it.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns the value of a numeric query parameter.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query_value(name)?.parse().ok()
    }

    /// Reads a text body whose length is given by the `Content-Length` header.
    ///
    /// # Errors
    ///
    /// The body is not UTF-8 or is truncated.
    pub fn read_text(
        &self,
        reader: &mut BufReader<TcpStream>,
        peer: SocketAddr,
    ) -> Result<String, Error> {
        let length = self.header("content-length").map_or(Ok(0), str::parse);
        let mut body = vec![0; length.map_err(|_| Error::Malformed(peer))?];
        reader.read_exact(&mut body)?;
        String::from_utf8(body).map_err(|_| Error::Malformed(peer))
    }

    /// Reads the body and returns its length and the sum of its bytes.
    ///
    /// # Errors
    ///
    /// The body is malformed or truncated.
    pub fn read_body(
        &self,
        reader: &mut BufReader<TcpStream>,
        peer: SocketAddr,
    ) -> Result<(u64, u64), Error> {
        if self.header("transfer-encoding").is_some() {
            return read_chunks(reader, peer);
        }
        let length = self.header("content-length").map_or(Ok(0), str::parse);
        let length: u64 = length.map_err(|_| Error::Malformed(peer))?;
        let sum = read_exact(reader, length)?;
        Ok((length, sum))
    }
}

fn read_chunks(reader: &mut BufReader<TcpStream>, peer: SocketAddr) -> Result<(u64, u64), Error> {
    let (mut length, mut sum) = (0, 0_u64);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = u64::from_str_radix(line.trim_end(), 16).map_err(|_| Error::Malformed(peer))?;
        sum = sum.wrapping_add(read_exact(reader, size)?);
        length += size;
        reader.read_line(&mut String::new())?;
        if size == 0 {
            return Ok((length, sum));
        }
    }
}

fn read_exact(reader: &mut impl Read, length: u64) -> Result<u64, Error> {
    let mut left = length;
    let mut sum = 0_u64;
    let mut buffer = vec![0; 64 * 1024];
    while left > 0 {
        let size = usize::try_from(left).unwrap_or(usize::MAX).min(buffer.len());
        reader.read_exact(&mut buffer[..size])?;
        sum = buffer[..size].iter().fold(sum, |sum, byte| sum.wrapping_add(u64::from(*byte)));
        left -= size as u64;
    }
    Ok(sum)
}
