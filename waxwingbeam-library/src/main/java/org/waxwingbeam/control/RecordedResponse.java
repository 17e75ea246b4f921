package org.waxwingbeam.control;

import com.google.protobuf.ByteString;

/**
 * A response that was recorded for replay.
 *
 * @param status the HTTP status
 * @param contentType the content type, or empty text if there was none
 * @param body the whole body
 * @since 0.1.0
 */
public record RecordedResponse(int status, String contentType, ByteString body) {}
