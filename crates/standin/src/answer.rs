//! Responses as bytes: some that a client accepts, and some whose framing is malformed, ambiguous or
//! contradictory, so that a client can't know which bytes are the body.
//!
//! They are templates. `{fields}` stands for header lines of the stand-in, `{body}` for its body and
//! `{length}` for the length of the body, in decimal, and `{size}` in hexadecimal.

/// What follows the bytes of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum After {
    /// The connection stays open.
    Open,
    /// The connection is closed.
    Closed,
    /// The connection is reset.
    Reset,
}

/// A response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// What is special about it.
    pub name: &'static str,
    /// The method of the request that it answers, if only one is meant.
    pub method: Option<&'static str>,
    template: &'static str,
    /// What follows it.
    pub after: After,
}

const fn open(name: &'static str, template: &'static str) -> Answer {
    Answer { name, method: None, template, after: After::Open }
}

const fn closed(name: &'static str, template: &'static str) -> Answer {
    Answer { name, method: None, template, after: After::Closed }
}

const fn reset(name: &'static str, template: &'static str) -> Answer {
    Answer { name, method: None, template, after: After::Reset }
}

const fn to_head(answer: Answer) -> Answer {
    Answer { method: Some("HEAD"), ..answer }
}

impl Answer {
    /// Returns the bytes of the response, with these header lines and this body.
    pub fn bytes(&self, fields: &str, body: &str) -> Vec<u8> {
        fill(self.template, fields, body)
    }

    /// Returns the bytes of the response with another status in place of 200.
    pub fn bytes_with_status(&self, status: u16, fields: &str, body: &str) -> Vec<u8> {
        let template = self.template.replace(" 200 ", &format!(" {status} "));
        fill(&template, fields, body)
    }

    /// Returns whether it has the body of the stand-in, as opposed to none.
    pub fn has_body(&self) -> bool {
        self.method.is_none() && self.template.contains("{body}")
    }
}

fn fill(template: &str, fields: &str, body: &str) -> Vec<u8> {
    let text = template.replace("{fields}", fields);
    let text = text.replace("{length}", &body.len().to_string());
    let text = text.replace("{size}", &format!("{:x}", body.len()));
    text.replace("{body}", body).into_bytes()
}

/// Responses that a client accepts.
#[rustfmt::skip]
pub const SOUND: &[Answer] = &[
    open("a length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    open("a length without a blank before it", "HTTP/1.1 200 OK\r\n{fields}Content-Length:{length}\r\n\r\n{body}"),
    open("a length between blanks", "HTTP/1.1 200 OK\r\n{fields}Content-Length: \t {length} \t\r\n\r\n{body}"),
    open("a name in lower case", "HTTP/1.1 200 OK\r\n{fields}content-length: {length}\r\n\r\n{body}"),
    open("an empty reason", "HTTP/1.1 200 \r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    open("an empty value", "HTTP/1.1 200 OK\r\n{fields}X-Empty:\r\nContent-Length: {length}\r\n\r\n{body}"),
    open("a value outside of ASCII", "HTTP/1.1 200 OK\r\n{fields}X-Name: größe\tx\r\nContent-Length: {length}\r\n\r\n{body}"),
    open("all characters of names", "HTTP/1.1 200 OK\r\n{fields}X!#$%&'*+-.^_`|~09: x\r\nContent-Length: {length}\r\n\r\n{body}"),
    open("version 1.0 with a length", "HTTP/1.0 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    open("chunked", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\r\n0\r\n\r\n"),
    open("chunked in capitals", "HTTP/1.1 200 OK\r\n{fields}TRANSFER-ENCODING: Chunked\r\n\r\n{size}\r\n{body}\r\n0\r\n\r\n"),
    open("a chunk extension", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size};a=\"b c\";d\r\n{body}\r\n0;e\r\n\r\n"),
    open("leading zeros of a chunk size", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n000{size}\r\n{body}\r\n00\r\n\r\n"),
    open("a trailer", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\r\n0\r\nX-Sum: 1\r\nX-Time: 2\r\n\r\n"),
    closed("no length", "HTTP/1.1 200 OK\r\n{fields}\r\n{body}"),
    closed("no length, and a statement of the close", "HTTP/1.1 200 OK\r\n{fields}Connection: close\r\n\r\n{body}"),
    closed("no length, and statements of both", "HTTP/1.1 200 OK\r\n{fields}Keep-Alive: timeout=9\r\nConnection: x, Close\r\n\r\n{body}"),
    closed("version 1.0 without a length", "HTTP/1.0 200 OK\r\n{fields}\r\n{body}"),
    open("100 before it", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    open("102 and 103 before it", "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    open("204", "HTTP/1.1 204 X\r\n{fields}\r\n"),
    open("204 with a length of 0", "HTTP/1.1 204 X\r\n{fields}Content-Length: 0\r\n\r\n"),
    open("a length of 0", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 0\r\n\r\n"),
    open("another response after it", "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"),
    open("another response after the last chunk", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\r\n0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"),
    open("the beginning of another response after it", "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}HTT"),
    to_head(open("a length without a body", "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n")),
    to_head(open("chunked without a body", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n")),
];

/// Responses without a status line of the grammar.
#[rustfmt::skip]
pub const STATUS_LINES: &[Answer] = &[
    closed("no HTTP", "{body}{body}\r\n\r\n{body}"),
    closed("no status line", "{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("an empty line before it", "\r\nHTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("a bare line feed before it", "\nHTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("a blank before it", " HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("a null byte before it", "\0HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("rest of a body before it", "xyzHTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("two status lines", "HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("version in lower case", "http/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("version 0.9", "HTTP/0.9 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("version 1.2", "HTTP/1.2 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("version 1.10", "HTTP/1.10 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("version 2.0", "HTTP/2.0 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("no version", "HTTP 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("a bare line feed after the status", "HTTP/1.1 200 OK\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("a bare carriage return after the status", "HTTP/1.1 200 OK\r{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("two blanks before the status", "HTTP/1.1  200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("a tab before the status", "HTTP/1.1\t200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("no blank after the status", "HTTP/1.1 200\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("a control byte in the reason", "HTTP/1.1 200 O\u{1}K\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
];

/// Responses with a status that doesn't exist.
#[rustfmt::skip]
pub const STATUSES: &[Answer] = &[
    closed("no status", "HTTP/1.1 \r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("status 000", "HTTP/1.1 000 X\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("status 099", "HTTP/1.1 099 X\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("status 600", "HTTP/1.1 600 X\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("status 999", "HTTP/1.1 999 X\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("a status of two digits", "HTTP/1.1 20 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("a status of four digits", "HTTP/1.1 2000 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("a status with a letter", "HTTP/1.1 2O0 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("a status with a sign", "HTTP/1.1 -20 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("a status joined with the reason", "HTTP/1.1 200OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
];

/// Responses with a line that is no field, or that doesn't end as one.
#[rustfmt::skip]
pub const LINES: &[Answer] = &[
    closed("a length without a colon", "HTTP/1.1 200 OK\r\n{fields}Content-Length {length}\r\n\r\n{body}"),
    closed("a blank before the colon", "HTTP/1.1 200 OK\r\n{fields}Content-Length : {length}\r\n\r\n{body}"),
    closed("a tab before the colon", "HTTP/1.1 200 OK\r\n{fields}Content-Length\t: {length}\r\n\r\n{body}"),
    closed("a blank in the name of the length", "HTTP/1.1 200 OK\r\n{fields}Content Length: {length}\r\n\r\n{body}"),
    closed("a control byte in the name of the length", "HTTP/1.1 200 OK\r\n{fields}Content\u{1}Length: {length}\r\n\r\n{body}"),
    closed("a null byte in the name of the length", "HTTP/1.1 200 OK\r\n{fields}Content-Length\0: {length}\r\n\r\n{body}"),
    closed("a delete character in a name", "HTTP/1.1 200 OK\r\n{fields}X-Na\u{7f}me: x\r\nContent-Length: {length}\r\n\r\n{body}"),
    closed("a line feed in the name of the length", "HTTP/1.1 200 OK\r\n{fields}Content-\nLength: {length}\r\n\r\n{body}"),
    closed("a carriage return in a name", "HTTP/1.1 200 OK\r\n{fields}X-Na\rme: x\r\nContent-Length: {length}\r\n\r\n{body}"),
    closed("a blank in a name", "HTTP/1.1 200 OK\r\n{fields}X Name: x\r\nContent-Length: {length}\r\n\r\n{body}"),
    closed("a slash in a name", "HTTP/1.1 200 OK\r\n{fields}X/Name: x\r\nContent-Length: {length}\r\n\r\n{body}"),
    closed("a parenthesis in a name", "HTTP/1.1 200 OK\r\n{fields}X(Name): x\r\nContent-Length: {length}\r\n\r\n{body}"),
    closed("a name outside of ASCII", "HTTP/1.1 200 OK\r\n{fields}X-Größe: x\r\nContent-Length: {length}\r\n\r\n{body}"),
    closed("an empty name", "HTTP/1.1 200 OK\r\n{fields}: x\r\nContent-Length: {length}\r\n\r\n{body}"),
    closed("a line that is no field", "HTTP/1.1 200 OK\r\n{fields}no field\r\nContent-Length: {length}\r\n\r\n{body}"),
    closed("a line that is no field, and no length", "HTTP/1.1 200 OK\r\n{fields}no field\r\n\r\n{body}"),
    closed("a blank line", "HTTP/1.1 200 OK\r\n{fields} \r\nContent-Length: {length}\r\n\r\n{body}"),
    closed("a blank before the first name", "HTTP/1.1 200 OK\r\n X-First: x\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("a folded line", "HTTP/1.1 200 OK\r\n{fields}X-Folded: x\r\n y\r\nContent-Length: {length}\r\n\r\n{body}"),
    closed("a folded length", "HTTP/1.1 200 OK\r\n{fields}Content-Length:\r\n {length}\r\n\r\n{body}"),
    closed("a null byte in a value", "HTTP/1.1 200 OK\r\n{fields}X-Value: x\0y\r\nContent-Length: {length}\r\n\r\n{body}"),
    closed("a control byte in a value", "HTTP/1.1 200 OK\r\n{fields}X-Value: x\u{1b}y\r\nContent-Length: {length}\r\n\r\n{body}"),
    closed("a delete character in a value", "HTTP/1.1 200 OK\r\n{fields}X-Value: x\u{7f}y\r\nContent-Length: {length}\r\n\r\n{body}"),
    closed("a carriage return in a value", "HTTP/1.1 200 OK\r\n{fields}X-Value: x\ry\r\nContent-Length: {length}\r\n\r\n{body}"),
    closed("a line feed in a value", "HTTP/1.1 200 OK\r\n{fields}X-Value: x\nX-Other: y\r\nContent-Length: {length}\r\n\r\n{body}"),
    closed("a bare line feed after a field", "HTTP/1.1 200 OK\r\n{fields}X-Value: x\nContent-Length: {length}\r\n\r\n{body}"),
    closed("a bare line feed after the length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\n\r\n{body}"),
    closed("two carriage returns after a field", "HTTP/1.1 200 OK\r\n{fields}X-Value: x\r\r\nContent-Length: {length}\r\n\r\n{body}"),
    closed("a bare line feed that ends the head", "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\n{body}"),
    closed("a bare line feed that ends the head early", "HTTP/1.1 200 OK\r\n{fields}\nContent-Length: {length}\r\n\r\n{body}"),
    closed("bare line feeds throughout", "HTTP/1.1 200 OK\n{fields}Content-Length: {length}\n\n{body}"),
    closed("a head cut after the length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n"),
    closed("a head cut in its last line", "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r"),
];

/// Responses whose length is malformed, stated twice, or neither stated nor marked by the end of the
/// connection.
#[rustfmt::skip]
pub const LENGTHS: &[Answer] = &[
    closed("an empty length", "HTTP/1.1 200 OK\r\n{fields}Content-Length:\r\n\r\n{body}"),
    closed("a negative length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: -{length}\r\n\r\n{body}"),
    closed("a length with a sign", "HTTP/1.1 200 OK\r\n{fields}Content-Length: +{length}\r\n\r\n{body}"),
    closed("a hexadecimal length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 0x{size}\r\n\r\n{body}"),
    closed("a length with a fraction", "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}.0\r\n\r\n{body}"),
    closed("a length with a letter", "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}x\r\n\r\n{body}"),
    closed("a length in quotes", "HTTP/1.1 200 OK\r\n{fields}Content-Length: \"{length}\"\r\n\r\n{body}"),
    closed("a length with a unit", "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length} bytes\r\n\r\n{body}"),
    closed("a length in other digits", "HTTP/1.1 200 OK\r\n{fields}Content-Length: ٣\r\n\r\n{body}"),
    closed("a length with a null byte", "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\0\r\n\r\n{body}"),
    closed("a length with a vertical tab", "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\u{b}\r\n\r\n{body}"),
    closed("two numbers", "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length} {length}\r\n\r\n{body}"),
    closed("a list of equal lengths", "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}, {length}\r\n\r\n{body}"),
    closed("a list of unequal lengths", "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}, 1\r\n\r\n{body}"),
    closed("a list with an empty element", "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length},\r\n\r\n{body}"),
    closed("two equal lengths", "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("two unequal lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    closed("a second, empty length", "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n{fields}Content-Length:\r\n\r\n{body}"),
    closed("a length over 64 bits", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 18446744073709551616\r\n\r\n{body}"),
    closed("a length of 64 bits", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 18446744073709551615\r\n\r\n{body}"),
    closed("no length on a connection that goes on", "HTTP/1.1 200 OK\r\n{fields}Keep-Alive: timeout=9\r\n\r\n{body}"),
    closed("no length on a connection that is kept alive", "HTTP/1.1 200 OK\r\n{fields}Connection: Keep-Alive\r\n\r\n{body}"),
    closed("a spoilt name of the length", "HTTP/1.1 200 OK\r\n{fields}Keep-Alive: timeout=9\r\nXontent-Length: {length}\r\n\r\n{body}"),
    closed("a length beyond the body", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 1{length}\r\n\r\n{body}"),
];

/// Responses with a transfer coding other than `chunked`, or with a length beside it.
#[rustfmt::skip]
pub const CODINGS: &[Answer] = &[
    closed("an empty transfer coding", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding:\r\n\r\n{size}\r\n{body}\r\n0\r\n\r\n"),
    closed("a cut transfer coding", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunke\r\n\r\n{size}\r\n{body}\r\n0\r\n\r\n"),
    closed("an unknown transfer coding", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: xchunked\r\n\r\n{size}\r\n{body}\r\n0\r\n\r\n"),
    closed("a blank in the transfer coding", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chun ked\r\n\r\n{size}\r\n{body}\r\n0\r\n\r\n"),
    closed("a transfer coding in quotes", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: \"chunked\"\r\n\r\n{size}\r\n{body}\r\n0\r\n\r\n"),
    closed("a parameter of the transfer coding", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked;q=1\r\n\r\n{size}\r\n{body}\r\n0\r\n\r\n"),
    closed("the identity coding", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: identity\r\n\r\n{body}"),
    closed("a compressing transfer coding", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: gzip\r\n\r\n{body}"),
    open("a compressing coding before chunked", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: gzip, chunked\r\n\r\n{size}\r\n{body}\r\n0\r\n\r\n"),
    closed("a coding after chunked", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked, gzip\r\n\r\n{size}\r\n{body}\r\n0\r\n\r\n"),
    open("chunked twice", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked, chunked\r\n\r\n{size}\r\n{body}\r\n0\r\n\r\n"),
    open("chunked in two lines", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\r\n0\r\n\r\n"),
    open("identity and chunked in two lines", "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\r\n0\r\n\r\n"),
    open("chunked with an empty element", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: ,chunked\r\n\r\n{size}\r\n{body}\r\n0\r\n\r\n"),
    open("chunked and a length", "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\r\n0\r\n\r\n"),
    closed("a spoilt transfer coding and a length", "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n{fields}Transfer-Encoding: chunke\r\n\r\n{body}"),
    open("chunked in version 1.0", "HTTP/1.0 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\r\n0\r\n\r\n"),
    closed("chunked before a body without chunks", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{body}"),
];

/// Responses with malformed chunks.
#[rustfmt::skip]
pub const CHUNKS: &[Answer] = &[
    closed("an empty chunk size", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n\r\n{body}\r\n0\r\n\r\n"),
    closed("a letter in a chunk size", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}g\r\n{body}\r\n0\r\n\r\n"),
    closed("a sign before a chunk size", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n+{size}\r\n{body}\r\n0\r\n\r\n"),
    closed("a prefix of a chunk size", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n0x{size}\r\n{body}\r\n0\r\n\r\n"),
    closed("a blank before a chunk size", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n {size}\r\n{body}\r\n0\r\n\r\n"),
    closed("a blank after a chunk size", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size} \r\n{body}\r\n0\r\n\r\n"),
    closed("two chunk sizes", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size} {size}\r\n{body}\r\n0\r\n\r\n"),
    closed("a bare line feed after a chunk size", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\n{body}\r\n0\r\n\r\n"),
    closed("a line feed in a chunk extension", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size};a\n{body}\r\n0\r\n\r\n"),
    closed("a control byte in a chunk extension", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size};a\u{1}\r\n{body}\r\n0\r\n\r\n"),
    closed("a chunk size over 64 bits", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n10000000000000000\r\n{body}\r\n0\r\n\r\n"),
    closed("a chunk size below the chunk", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n1\r\n{body}\r\n0\r\n\r\n"),
    closed("a chunk size beyond the chunk", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\nf{size}\r\n{body}\r\n0\r\n\r\n"),
    closed("a chunk size of 0 before a chunk", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n0\r\n{body}\r\n0\r\n\r\n"),
    closed("no line end after a chunk", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\r\n{body}0\r\n\r\n"),
    closed("a bare line feed after a chunk", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\n0\r\n\r\n"),
    closed("no last chunk", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\r\n"),
    closed("no line end after the last chunk", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\r\n0\r\n"),
];

/// Responses with malformed trailers, or with trailers that frame it.
#[rustfmt::skip]
pub const TRAILERS: &[Answer] = &[
    open("a bare line feed in place of trailers", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\r\n0\r\n\nx\r\n\r\n"),
    open("a trailer line that is no field", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\r\n0\r\nno field\r\n\r\n"),
    open("a blank in the name of a trailer", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\r\n0\r\nX Sum: 1\r\n\r\n"),
    open("a control byte in a trailer", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\r\n0\r\nX-Sum: \u{1}\r\n\r\n"),
    open("a bare line feed in a trailer", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\r\n0\r\nX-Sum: 1\nX-Time: 2\r\n\r\n"),
    open("bare line feeds that end the trailers early", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\r\n0\r\nX-Sum: 1\n\nno field\r\n\r\n"),
    open("a length as a trailer", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\r\n0\r\nContent-Length: 9\r\n\r\n"),
    open("a transfer coding as a trailer", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n"),
    closed("a cut trailer", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\r\n0\r\nX-Sum: 1\r\n"),
];

/// Informational responses that state a body, and others that can't have the one that they state.
#[rustfmt::skip]
pub const BODILESS: &[Answer] = &[
    closed("only 100", "HTTP/1.1 100 Continue\r\n{fields}\r\n"),
    open("100 with a length", "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    open("100 with a body", "HTTP/1.1 100 Continue\r\nContent-Length: {length}\r\n\r\n{body}HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    open("100 with a transfer coding", "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    open("100 with a bare line feed", "HTTP/1.1 100 Continue\n\nHTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    open("100 with a line that is no field", "HTTP/1.1 100 Continue\r\nno field\r\n\r\nHTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    open("100 in version 1.0", "HTTP/1.0 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    open("101", "HTTP/1.1 101 X\r\n{fields}Connection: upgrade\r\nUpgrade: x\r\n\r\n{body}"),
    open("204 with a length", "HTTP/1.1 204 X\r\n{fields}Content-Length: {length}\r\n\r\n"),
    open("204 with a length and a body", "HTTP/1.1 204 X\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    open("204 with a transfer coding", "HTTP/1.1 204 X\r\n{fields}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
];

/// Responses that end early.
#[rustfmt::skip]
pub const CUT: &[Answer] = &[
    closed("a body cut short", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 9{length}\r\n\r\n{body}"),
    reset("a reset without a length", "HTTP/1.1 200 OK\r\n{fields}\r\n{body}"),
    reset("a reset in a chunked body", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\r\n"),
    reset("a reset within a stated length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 9{length}\r\n\r\n{body}"),
];

/// Responses before bytes that are no response, so that their length is in doubt. They are malformed
/// only if these bytes have arrived with the end.
#[rustfmt::skip]
pub const SURPLUS: &[Answer] = &[
    open("a length below the body", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 1\r\n\r\n{body}"),
    open("a length of 0 before a body", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 0\r\n\r\n{body}"),
    open("204 with a body", "HTTP/1.1 204 X\r\n{fields}\r\n{body}"),
    open("304 with a body", "HTTP/1.1 304 X\r\n{fields}Content-Length: {length}\r\n\r\n{body}"),
    open("bytes after the body", "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}xyz"),
    open("a line end after the body", "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}\r\n"),
    open("bytes after the last chunk", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\r\n0\r\n\r\nxyz"),
    to_head(open("a body", "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}")),
];

/// All responses that a client must not take for complete, however they arrive.
pub const MALFORMED: &[&[Answer]] =
    &[STATUS_LINES, STATUSES, LINES, LENGTHS, CODINGS, CHUNKS, TRAILERS, BODILESS, CUT];

/// Returns the malformed response of this name.
pub fn find(name: &str) -> Option<Answer> {
    let groups = MALFORMED.iter().chain([&SURPLUS]);
    groups.flat_map(|group| group.iter()).find(|answer| answer.name == name).copied()
}

/// One response of each kind that the HTTP library accepts.
pub const ACCEPTED_BY_LIBRARY: [&str; 9] = [
    "an empty line before it",
    "a bare line feed after a field",
    "a list of equal lengths",
    "the identity coding",
    "a coding after chunked",
    "a blank after a chunk size",
    "a length as a trailer",
    "100 with a length",
    "bytes after the body",
];

/// Bytes without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endless {
    /// Where in a response they are.
    pub name: &'static str,
    /// What the response begins with. `{fields}` stands for header lines of the stand-in.
    pub start: &'static str,
    /// What follows again and again.
    pub part: &'static str,
}

const fn endless(name: &'static str, start: &'static str, part: &'static str) -> Endless {
    Endless { name, start, part }
}

/// Responses of which a part has no end.
#[rustfmt::skip]
pub const ENDLESS: &[Endless] = &[
    endless("no HTTP", "", "x"),
    endless("line feeds", "", "\n"),
    endless("line ends", "", "\r\n"),
    endless("a version", "HTTP/1.", "1"),
    endless("a status", "HTTP/1.1 2", "0"),
    endless("a reason", "HTTP/1.1 200 ", "x"),
    endless("a name", "HTTP/1.1 200 OK\r\n{fields}", "x"),
    endless("a value", "HTTP/1.1 200 OK\r\n{fields}X-Fill: ", "x"),
    endless("blanks before a value", "HTTP/1.1 200 OK\r\n{fields}X-Fill: ", " "),
    endless("fields", "HTTP/1.1 200 OK\r\n{fields}", "X-Fill: x\r\n"),
    endless("a length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: ", "0"),
    endless("informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
    endless("informational responses with fields", "", "HTTP/1.1 103 X\r\nLink: x\r\n\r\n"),
    endless("a body without a length", "HTTP/1.1 200 OK\r\n{fields}\r\n", "x"),
    endless("a body with a length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 1099511627776\r\n\r\n", "x"),
    endless("a chunk", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n", "x"),
    endless("chunks", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n", "40\r\nxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n"),
    endless("a chunk size", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n", "0"),
    endless("a chunk extension", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n1;a=", "x"),
    endless("chunk extensions", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n", "1;abcdefgh\r\nx\r\n"),
    endless("a trailer", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n0\r\nX-Fill: ", "x"),
    endless("trailers", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Fill: x\r\n"),
    endless("responses", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
];

/// A body without end in chunks of one byte.
pub const ENDLESS_TRICKLE: Endless = endless(
    "chunks of one byte",
    "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n",
    "1\r\nx\r\n",
);
