//! Detects request heads with both `Content-Length` and `Transfer-Encoding`. The HTTP library silently picks
//! one of the two framings.

/// Bytes of a header line that are compared: the longest framing header's name with its colon.
const PREFIX_MAX: usize = 18;

/// The framing headers seen in the part of a request head read so far.
#[derive(Clone, Debug, Default)]
pub struct Framing {
    /// The beginning of the current line in lower case, and the length of the whole line.
    line: [u8; PREFIX_MAX],
    length: usize,
    length_given: bool,
    chunked: bool,
    /// Whether the head is complete; bytes that follow don't belong to it.
    complete: bool,
}

impl Framing {
    /// Processes bytes received.
    pub fn feed(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.complete {
                return;
            }
            match byte {
                b'\n' => {
                    let line = &self.line[..self.length.min(PREFIX_MAX)];
                    self.length_given |= line.starts_with(b"content-length:");
                    self.chunked |= line.starts_with(b"transfer-encoding:");
                    // Empty lines may precede the request line.
                    self.complete = self.length == 0 && self.has_started();
                    self.length = 0;
                }
                b'\r' => {}
                _ => {
                    if let Some(slot) = self.line.get_mut(self.length) {
                        *slot = byte.to_ascii_lowercase();
                    }
                    self.length += 1;
                }
            }
        }
    }

    fn has_started(&self) -> bool {
        self.line[0] != 0
    }

    /// Whether both framing headers are present.
    pub fn conflicts(&self) -> bool {
        self.length_given && self.chunked
    }
}

#[cfg(test)]
mod tests {
    use super::Framing;

    #[test]
    fn both_framing_headers_conflict_wherever_the_head_is_split() {
        let (length, chunks) = ("content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n");
        let cases = [
            (format!("POST / HTTP/1.1\r\n{length}{chunks}\r\n"), true),
            (format!("\r\nPOST / HTTP/1.1\r\n{chunks}Host: x\r\n{length}\r\n"), true),
            (format!("POST / HTTP/1.1\r\n{length}X-Not: {chunks}\r\n"), false),
            (format!("POST / HTTP/1.1\r\n{chunks}\r\n5\r\n{length}\r\n"), false),
        ];
        for (head, conflicts) in cases {
            for piece in [1, 7, 1_000] {
                let mut framing = Framing::default();
                head.as_bytes().chunks(piece).for_each(|part| framing.feed(part));
                assert_eq!(framing.conflicts(), conflicts, "{head}");
            }
        }
    }
}
