//! Codec, framing and link threads between the processes of knapweedrill.
