package org.cicadaarch.protocol

/**
 * Names of the headers that routers set on requests to targets.
 */
object TargetHeaders {
    /** The request ID, which is the same for all attempts. */
    const val REQUEST: String = "x-cicadaarch-request"

    /** The number of the attempt within the request. */
    const val ATTEMPT: String = "x-cicadaarch-attempt"

    /** The number of stream events that the client has already received; the target resumes the stream after them. */
    const val RESUME_OFFSET: String = "x-cicadaarch-resume-offset"

    /** The priority of the request. */
    const val PRIORITY: String = "x-cicadaarch-priority"
}
