//! Reports of the capacity planner: tables on a terminal ([`text`]), and a self-contained HTML page ([`html`]) with SVG
//! plots.
//!
//! Both only present the contents of a [`Plan`](sedgestack_plan::Plan). The page needs neither network nor scripts and
//! can be printed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod figures;
pub mod html;
mod markup;
mod plots;
pub mod text;
