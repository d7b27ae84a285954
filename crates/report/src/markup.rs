//! Builds the parts of an HTML page: escaped text, tables, and plots with captions.

/// A row of a table.
pub struct Row {
    /// Whether the row is highlighted as the result.
    pub is_highlighted: bool,
    /// The cells, as unescaped text.
    pub cells: Vec<String>,
}

impl Row {
    /// Creates a row without highlighting.
    pub fn plain(cells: Vec<String>) -> Row {
        Row { is_highlighted: false, cells }
    }
}

/// Escapes text for use in HTML.
pub fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Converts words to owned strings, as the header of a table.
pub fn to_strings(words: &[&str]) -> Vec<String> {
    words.iter().map(std::string::ToString::to_string).collect()
}

/// Returns an HTML table that scrolls horizontally on a page too narrow for it.
pub fn table(head: &[String], rows: impl Iterator<Item = Row>) -> String {
    let body: String = rows.map(|row| table_row(&row)).collect();
    format!(
        "<div class=\"scroll\"><table><thead><tr>{}</tr></thead><tbody>\n{body}</tbody></table></div>\n",
        cells("th", head)
    )
}

fn table_row(row: &Row) -> String {
    let class = if row.is_highlighted { " class=\"least\"" } else { "" };
    format!("<tr{class}>{}</tr>\n", cells("td", &row.cells))
}

fn cells(tag: &str, cells: &[String]) -> String {
    cells.iter().map(|cell| format!("<{tag}>{}</{tag}>", escape(cell))).collect()
}

/// Returns an HTML figure of a plot with its caption.
pub fn figure(svg: &str, caption: &str) -> String {
    format!(
        "<figure><div class=\"scroll\">{svg}</div><figcaption>{}</figcaption></figure>\n",
        escape(caption)
    )
}

/// Returns a paragraph of small print. The text is not escaped.
pub fn small_print(text: &str) -> String {
    format!("<p class=\"small\">{text}</p>\n")
}
