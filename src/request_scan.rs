//! Finds the end of an HTTP request in a stream of bytes, without keeping them.

use crate::client_limits::MAX_HEAD_BYTES;

/// How far a request has arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ScanStatus {
    /// The head is incomplete.
    #[default]
    Head,
    /// The head exceeds the limit.
    HeadTooLarge,
    /// The framing is ambiguous, or malformed, so the HTTP server may find another end.
    Invalid,
    /// The body is incomplete.
    Body,
    /// The request is complete.
    Complete,
}

/// State of the scan of one request.
#[derive(Clone, Debug, Default)]
pub struct RequestScan {
    head: Vec<u8>,
    status: ScanStatus,
    has_body: bool,
    expects_continue: bool,
    head_length: usize,
    /// The byte before the next one, unless that was data.
    last_byte: u8,
    framing: BodyFraming,
}

/// How the end of a body is found, and what is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyFraming {
    /// The body has a length.
    Length(u64),
    /// A line with the size of a chunk. Its extensions are skipped.
    ChunkSize {
        size: u64,
        has_digits: bool,
        is_extension: bool,
    },
    /// The data of a chunk.
    ChunkData(u64),
    /// The line end after the data of a chunk.
    ChunkEnd,
    /// The trailer, which ends with an empty line.
    Trailer { is_line_empty: bool },
}

impl Default for BodyFraming {
    fn default() -> Self {
        Self::Length(0)
    }
}

const CHUNK_START: BodyFraming = BodyFraming::ChunkSize {
    size: 0,
    has_digits: false,
    is_extension: false,
};

impl RequestScan {
    /// Scans the next bytes and returns how many of them belong to the request.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        match self.status {
            ScanStatus::Head => self.push_head(bytes),
            ScanStatus::Body => self.push_body(bytes),
            ScanStatus::HeadTooLarge | ScanStatus::Invalid | ScanStatus::Complete => 0,
        }
    }

    /// Returns how far the request has arrived.
    #[must_use]
    pub const fn status(&self) -> ScanStatus {
        self.status
    }

    /// Returns whether the head announces a body.
    #[must_use]
    pub const fn has_body(&self) -> bool {
        self.has_body
    }

    /// Returns whether the head asks for an interim response before the body is sent.
    #[must_use]
    pub const fn expects_continue(&self) -> bool {
        self.expects_continue
    }

    /// Returns how many bytes of a body with a declared length are missing.
    #[must_use]
    pub const fn missing_bytes(&self) -> u64 {
        match self.framing {
            BodyFraming::Length(missing) => missing,
            _ => 0,
        }
    }

    /// Removes the `Expect` fields from a scanned request whose interim response has been sent.
    #[must_use]
    pub fn without_expect(&self, request: Vec<u8>) -> Vec<u8> {
        if !self.expects_continue {
            return request;
        }
        let (head, body) = request.split_at(self.head_length.min(request.len()));
        let lines = head.split_inclusive(|byte| *byte == b'\n');
        let is_expect = |line: &[u8]| line.len() > 7 && line[..7].eq_ignore_ascii_case(b"expect:");
        let mut kept: Vec<u8> = lines
            .filter(|line| !is_expect(line))
            .flatten()
            .copied()
            .collect();
        kept.extend_from_slice(body);
        kept
    }

    fn push_head(&mut self, bytes: &[u8]) -> usize {
        let known = self.head.len();
        let room = MAX_HEAD_BYTES + 1 - known;
        self.head.extend_from_slice(&bytes[..bytes.len().min(room)]);
        // The end may have begun in the bytes before.
        let start = known.saturating_sub(3);
        let Some(end) = self.head_end(start) else {
            if self.head.len() > MAX_HEAD_BYTES {
                self.status = ScanStatus::HeadTooLarge;
                self.head = Vec::new();
            }
            return bytes.len();
        };
        self.head.truncate(end);
        self.head_length = end;
        let is_valid = self.read_fields();
        self.head = Vec::new();
        let start = end - known;
        if !is_valid {
            self.status = ScanStatus::Invalid;
            return start;
        }
        self.status = ScanStatus::Body;
        start + self.push_body(&bytes[start..])
    }

    /// Returns the position after the empty line that ends the head. Empty lines before the request
    /// belong to the head. A line may end without a carriage return.
    fn head_end(&self, start: usize) -> Option<usize> {
        let first = self.head.iter().position(|byte| !b"\r\n".contains(byte))?;
        let mut position = start.max(first);
        while let Some(offset) = self.head[position..].iter().position(|byte| *byte == b'\n') {
            let next = position + offset + 1;
            match self.head[next..] {
                [b'\n', ..] => return Some(next + 1),
                [b'\r', b'\n', ..] => return Some(next + 2),
                _ => position = next,
            }
        }
        None
    }

    /// Reads the framing of the body. Returns whether it is unambiguous.
    fn read_fields(&mut self) -> bool {
        let text = String::from_utf8_lossy(&self.head);
        let mut lengths = Vec::new();
        let mut is_chunked = false;
        let mut is_valid = text
            .split_inclusive('\n')
            .all(|line| line.ends_with("\r\n"));
        // The request line may contain colons.
        let lines = text.lines().skip_while(|line| line.is_empty()).skip(1);
        for (name, value) in lines.filter_map(|line| line.split_once(':')) {
            is_valid &= !name.contains(char::is_whitespace);
            let value = value.trim();
            if name.eq_ignore_ascii_case("expect") {
                self.expects_continue |= value.eq_ignore_ascii_case("100-continue");
            } else if name.eq_ignore_ascii_case("transfer-encoding") {
                is_chunked = true;
            } else if name.eq_ignore_ascii_case("content-length") {
                is_valid &= value.bytes().all(|byte| byte.is_ascii_digit());
                lengths.push(value.parse().ok());
            } else if name.eq_ignore_ascii_case("connection") {
                // The HTTP library takes all later bytes for the body of an upgraded request.
                is_valid &= !value.to_ascii_lowercase().contains("upgrade");
            }
        }
        self.framing = match (lengths[..].as_ref(), is_chunked) {
            ([], true) => CHUNK_START,
            ([], false) => BodyFraming::Length(0),
            ([Some(length)], false) => BodyFraming::Length(*length),
            _ => return false,
        };
        self.has_body = self.framing != BodyFraming::Length(0);
        is_valid
    }

    fn push_body(&mut self, bytes: &[u8]) -> usize {
        let mut position = 0;
        loop {
            if matches!(self.framing, BodyFraming::Length(0)) {
                self.status = ScanStatus::Complete;
                return position;
            }
            let Some(byte) = bytes.get(position) else {
                return position;
            };
            let rest = (bytes.len() - position) as u64;
            match &mut self.framing {
                BodyFraming::Length(missing) | BodyFraming::ChunkData(missing) => {
                    let count = rest.min(*missing);
                    *missing -= count;
                    // The count is at most the length of the slice.
                    position += usize::try_from(count).unwrap_or(usize::MAX);
                    self.last_byte = 0;
                    if self.framing == BodyFraming::ChunkData(0) {
                        self.framing = BodyFraming::ChunkEnd;
                    }
                }
                _ => {
                    position += 1;
                    let is_line_end = *byte == b'\n';
                    let follows_return = self.last_byte == b'\r';
                    if is_line_end != follows_return || !self.framing.allows(*byte) {
                        self.status = ScanStatus::Invalid;
                        return position;
                    }
                    self.last_byte = *byte;
                    self.framing = self.framing.after(*byte);
                }
            }
        }
    }
}

impl BodyFraming {
    /// Returns whether a byte outside the data of a chunk may follow.
    const fn allows(self, byte: u8) -> bool {
        match self {
            Self::ChunkSize {
                has_digits,
                is_extension,
                ..
            } => {
                is_extension
                    || byte.is_ascii_hexdigit()
                    || has_digits && matches!(byte, b';' | b'\r')
            }
            Self::ChunkEnd => matches!(byte, b'\r' | b'\n'),
            _ => true,
        }
    }

    /// Returns the state after a byte outside the data of a chunk.
    fn after(self, byte: u8) -> Self {
        match (self, byte) {
            (Self::ChunkSize { size: 0, .. }, b'\n') => Self::Trailer {
                is_line_empty: true,
            },
            (Self::ChunkSize { size, .. }, b'\n') => Self::ChunkData(size),
            (
                Self::ChunkSize {
                    size,
                    is_extension,
                    has_digits,
                },
                byte,
            ) => {
                let digit = char::from(byte).to_digit(16).filter(|_| !is_extension);
                match digit {
                    Some(digit) => Self::ChunkSize {
                        size: size.saturating_mul(16).saturating_add(u64::from(digit)),
                        has_digits: true,
                        is_extension,
                    },
                    None => Self::ChunkSize {
                        size,
                        has_digits,
                        is_extension: true,
                    },
                }
            }
            (Self::ChunkEnd, b'\n') => CHUNK_START,
            (
                Self::Trailer {
                    is_line_empty: true,
                },
                b'\n',
            ) => Self::Length(0),
            (Self::Trailer { .. }, b'\n') => Self::Trailer {
                is_line_empty: true,
            },
            (Self::Trailer { is_line_empty }, byte) => Self::Trailer {
                is_line_empty: is_line_empty && byte == b'\r',
            },
            (state, _) => state,
        }
    }
}
