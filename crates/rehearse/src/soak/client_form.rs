//! The forms of HTTP/1 in which clients send requests.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

/// The form of a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientForm {
    /// HTTP/1.1, on a connection that stays open.
    Http11,
    /// HTTP/1.1 with `Connection: close`.
    Http11Close,
    /// HTTP/1.0, whose connection ends with the answer.
    Http10,
    /// HTTP/1.0 with `Connection: keep-alive`.
    Http10KeepAlive,
}

const FORMS: [ClientForm; 4] =
    [ClientForm::Http11, ClientForm::Http11Close, ClientForm::Http10, ClientForm::Http10KeepAlive];

impl ClientForm {
    /// Draws a form.
    pub fn draw(rng: &mut StdRng) -> ClientForm {
        *FORMS.choose(rng).expect("there are forms")
    }

    /// The version in the request line.
    pub fn version(self) -> &'static str {
        match self {
            ClientForm::Http11 | ClientForm::Http11Close => "HTTP/1.1",
            ClientForm::Http10 | ClientForm::Http10KeepAlive => "HTTP/1.0",
        }
    }

    /// The header line that the form adds.
    pub fn header(self) -> &'static str {
        match self {
            ClientForm::Http11 | ClientForm::Http10 => "",
            ClientForm::Http11Close => "Connection: close\r\n",
            ClientForm::Http10KeepAlive => "Connection: keep-alive\r\n",
        }
    }

    /// Whether the connection may carry another request.
    pub fn keeps_connection(self) -> bool {
        matches!(self, ClientForm::Http11 | ClientForm::Http10KeepAlive)
    }
}
