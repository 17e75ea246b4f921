package org.waxwingbeam.control;

import com.google.protobuf.ByteString;

/**
 * An answer that was kept for replay.
 *
 * @param status the HTTP status
 * @param contentType the content type, or empty text
 * @param body the whole body
 * @since 0.1.0
 */
public record RecordedResponse(int status, String contentType, ByteString body) {}
