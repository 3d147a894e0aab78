//! The size of messages in memory, which can be many times that of their encoding.

use std::mem::size_of;

/// Wire types of the protobuf encoding.
const VARINT: u64 = 0;
const FIXED64: u64 = 1;
const LENGTH_DELIMITED: u64 = 2;
const FIXED32: u64 = 5;

/// Layout of a message, as far as its size in memory depends on it.
#[derive(Debug)]
pub struct Layout {
    /// Size of the message itself, in bytes.
    pub size: usize,
    /// Fields that are messages, with their numbers.
    pub messages: &'static [(u64, &'static Layout)],
}

impl Layout {
    /// Returns an upper bound of the memory that an encoded message takes once it is decoded;
    /// `None` if it is malformed.
    ///
    /// # Examples
    ///
    /// ```
    /// use lavenderflow_schema::layouts::EXCHANGE;
    /// use lavenderflow_schema::wire::Exchange;
    /// use prost::Message;
    ///
    /// let exchange = Exchange { members: vec![Default::default(); 100], ..Exchange::default() };
    /// let encoded = exchange.encode_to_vec();
    /// assert_eq!(encoded.len(), 200);
    /// assert!(EXCHANGE.decoded_size(&encoded) > Some(10_000));
    /// assert_eq!(EXCHANGE.decoded_size(&encoded[..199]), None);
    /// ```
    pub fn decoded_size(&self, encoded: &[u8]) -> Option<usize> {
        let (mut rest, mut size) = (encoded, self.size);
        while !rest.is_empty() {
            let key = take_varint(&mut rest)?;
            let bytes = match key & 7 {
                VARINT => take_varint(&mut rest).map(|_| size_of::<u64>())?,
                FIXED64 => take(&mut rest, 8)?.len(),
                FIXED32 => take(&mut rest, 4)?.len(),
                LENGTH_DELIMITED => {
                    let length = usize::try_from(take_varint(&mut rest)?).ok()?;
                    let value = take(&mut rest, length)?;
                    match self.messages.iter().find(|(number, _)| *number == key >> 3) {
                        // A list that grows has space for up to as many elements again.
                        Some((_, layout)) => layout.decoded_size(value)? + layout.size,
                        None => 2 * size_of::<String>() + length,
                    }
                }
                _ => return None,
            };
            size = size.saturating_add(bytes);
        }
        Some(size)
    }
}

fn take<'a>(rest: &mut &'a [u8], length: usize) -> Option<&'a [u8]> {
    let (value, after) = rest.split_at_checked(length)?;
    *rest = after;
    Some(value)
}

fn take_varint(rest: &mut &[u8]) -> Option<u64> {
    let mut value = 0;
    for shift in (0..64).step_by(7) {
        let byte = *take(rest, 1)?.first()?;
        value |= u64::from(byte & 0x7f) << shift;
        if byte < 0x80 {
            return Some(value);
        }
    }
    None
}
