//! Watches the bytes of a request's head for two framings at once, which the HTTP library resolves in
//! silence.

/// The longest name that tells of a framing, with its colon.
const NAME_MAX: usize = 18;

/// What the head read so far says of its body.
#[derive(Clone, Debug, Default)]
pub struct Framing {
    /// The beginning of the present line, in small letters, and how long that is.
    line: [u8; NAME_MAX],
    length: usize,
    length_given: bool,
    chunked: bool,
    /// The head is over; what follows is not its.
    over: bool,
}

impl Framing {
    /// Takes in what has been read.
    pub fn feed(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.over {
                return;
            }
            match byte {
                b'\n' => {
                    let line = &self.line[..self.length.min(NAME_MAX)];
                    self.length_given |= line.starts_with(b"content-length:");
                    self.chunked |= line.starts_with(b"transfer-encoding:");
                    // Lines may stand before a request's first.
                    self.over = self.length == 0 && self.begun();
                    self.length = 0;
                }
                b'\r' => {}
                _ => {
                    if let Some(place) = self.line.get_mut(self.length) {
                        *place = byte.to_ascii_lowercase();
                    }
                    self.length += 1;
                }
            }
        }
    }

    fn begun(&self) -> bool {
        self.line[0] != 0
    }

    /// Whether both a length and chunks are named.
    pub fn conflicts(&self) -> bool {
        self.length_given && self.chunked
    }
}

#[cfg(test)]
mod tests {
    use super::Framing;

    #[test]
    fn both_framings_in_one_head_conflict_however_they_are_cut() {
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
