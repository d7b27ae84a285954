//! Reports of capacity plans: tables for a terminal ([`text`]) and one self-contained HTML page ([`html`]) with SVG
//! plots.
//!
//! Both only present the contents of a [`Plan`](sedgestack_plan::Plan). The page needs neither a network nor scripts,
//! and its layout suits printing.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod figures;
pub mod html;
mod markup;
mod plots;
pub mod text;
