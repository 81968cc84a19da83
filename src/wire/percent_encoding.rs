//! Percent-encoding of characters that are not allowed in the path or query of a URL.

/// Decodes a component of a URL; None if it is malformed or not UTF-8.
#[must_use]
pub fn percent_decode(text: &str) -> Option<String> {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'%' => {
                let digit = |byte: Option<u8>| char::from(byte?).to_digit(16);
                u8::try_from(digit(rest.next())? * 16 + digit(rest.next())?).ok()?
            }
            plain => plain,
        });
    }
    String::from_utf8(bytes).ok()
}

/// Encodes a component of a URL.
#[must_use]
pub fn percent_encode(text: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    text.bytes()
        .map(|byte| if is_plain(byte) { char::from(byte).to_string() } else { format!("%{byte:02X}") })
        .collect()
}
