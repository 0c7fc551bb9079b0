//! The caller's client of knapweedrill, for others to embed.
