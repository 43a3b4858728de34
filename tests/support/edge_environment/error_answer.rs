//! Answers of an engine that fails a stream, though their status may be that of a success.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::framing::Framing;

/// Text of the errors.
pub const ERROR_TEXT: &str = "out of memory";

/// What an engine answers in place of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorAnswer {
    ServerError,
    ClientError,
    /// A success whose body is the text of the error, and no stream.
    Text,
    /// A stream whose bytes are the text of the error.
    TextInStream,
    /// A stream whose bytes are a whole second answer, which ends with an event.
    AnswerInStream,
    /// A stream that ends in order without an event.
    Empty,
}

impl ErrorAnswer {
    pub const ALL: [Self; 6] = [
        Self::ServerError,
        Self::ClientError,
        Self::Text,
        Self::TextInStream,
        Self::AnswerInStream,
        Self::Empty,
    ];

    fn status(self) -> u16 {
        match self {
            Self::ServerError => 500,
            Self::ClientError => 400,
            _ => 200,
        }
    }

    fn content_type(self) -> &'static str {
        match self {
            Self::TextInStream | Self::AnswerInStream | Self::Empty => "text/event-stream",
            _ => "text/plain",
        }
    }

    fn body(self, next_event: u64) -> String {
        match self {
            Self::AnswerInStream => format!(
                "HTTP/1.1 503 X\r\ncontent-type: text/plain\r\n\r\n{ERROR_TEXT}\n\
                 id: {next_event}\ndata: {ERROR_TEXT}\n\n"
            ),
            Self::Empty => String::new(),
            _ => format!("{ERROR_TEXT}\n\n"),
        }
    }

    /// Answers a call that goes on with `next_event`. Returns false to close the connection.
    pub async fn write(
        self,
        stream: &mut TcpStream,
        framing: Framing,
        call_id: &str,
        next_event: u64,
    ) -> bool {
        let head = format!(
            "HTTP/1.1 {} X\r\n{}content-type: {}\r\nx-zinniawing-attempt-id: {call_id}\r\n\
             x-zinniawing-server-signature: sig-{call_id}\r\n\r\n",
            self.status(),
            framing.header(),
            self.content_type()
        );
        let body = self.body(next_event);
        let mut answer = head.into_bytes();
        if !body.is_empty() {
            answer.extend(framing.frame(body.as_bytes()));
        }
        if framing == Framing::Chunked {
            answer.extend(b"0\r\n\r\n");
        }
        stream.write_all(&answer).await.is_ok() && framing == Framing::Chunked
    }
}
