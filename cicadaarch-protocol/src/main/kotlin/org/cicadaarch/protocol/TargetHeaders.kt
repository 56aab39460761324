package org.cicadaarch.protocol

/**
 * The header names of requests to targets.
 */
object TargetHeaders {
    /** The request's identity, the same for all attempts. */
    const val REQUEST: String = "x-cicadaarch-request"

    /** The attempt's number within the request. */
    const val ATTEMPT: String = "x-cicadaarch-attempt"

    /** The number of stream events that the caller already has; the target goes on after them. */
    const val RESUME_OFFSET: String = "x-cicadaarch-resume-offset"

    /** The request's priority. */
    const val PRIORITY: String = "x-cicadaarch-priority"
}
