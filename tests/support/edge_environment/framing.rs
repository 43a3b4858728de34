//! How the stand-in engine frames its answers.

/// How an answer's end is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Chunked,
    /// The answer ends with its connection.
    CloseDelimited,
}

impl Framing {
    pub fn of(is_close_delimited: bool) -> Self {
        if is_close_delimited {
            Self::CloseDelimited
        } else {
            Self::Chunked
        }
    }

    pub fn header(self) -> &'static str {
        match self {
            Self::Chunked => "transfer-encoding: chunked\r\n",
            Self::CloseDelimited => "",
        }
    }

    pub fn frame(self, data: &[u8]) -> Vec<u8> {
        match self {
            Self::Chunked => [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat(),
            Self::CloseDelimited => data.to_vec(),
        }
    }
}
