package org.cicadaarch.store.framing

/** A message whose end cannot be told for certain, for the reason in [message]. */
class FramingException(message: String) : IllegalArgumentException(message)
