package org.waxwingbeam.caller;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import org.waxwingbeam.model.AccountName;

/**
 * Computes digests that identify a request by its content.
 *
 * @since 0.1.0
 */
public final class RequestDigest {
  private static final String ALGORITHM = "SHA-256";

  private RequestDigest() {}

  /** Returns the digest of method, path and body, as hexadecimal text. */
  public static String ofRequest(String method, String path, List<ByteBuffer> body) {
    MessageDigest digest = begin(method + " " + path + "\n");
    body.forEach(digest::update);
    return HexFormat.of().formatHex(digest.digest());
  }

  /** Returns the digest of client account, method and path, as hexadecimal text. */
  public static String ofPath(AccountName account, String method, String path) {
    MessageDigest digest = begin(account + "\n" + method + " " + path + "\n");
    return HexFormat.of().formatHex(digest.digest());
  }

  /** Returns the fingerprint of a request with the given body. */
  public static PoisonRequestDetector.Fingerprint fingerprint(
      AccountName account, String method, String path, List<ByteBuffer> body) {
    String pathDigest = ofPath(account, method, path);
    MessageDigest digest = begin(pathDigest + "\n");
    body.forEach(digest::update);
    return new PoisonRequestDetector.Fingerprint(
        HexFormat.of().formatHex(digest.digest()), pathDigest);
  }

  /**
   * Returns the digest of the first bytes of a body, as hexadecimal text.
   *
   * @param body the body or its beginning
   * @param byteCount the number of bytes that count
   */
  public static String ofPrefix(List<ByteBuffer> body, int byteCount) {
    MessageDigest digest = begin("");
    int left = byteCount;
    for (ByteBuffer each : body) {
      int used = Math.min(left, each.remaining());
      digest.update(each.slice(each.position(), used));
      left -= used;
    }
    return HexFormat.of().formatHex(digest.digest());
  }

  private static MessageDigest begin(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance(ALGORITHM);
      digest.update(text.getBytes(UTF_8));
      return digest;
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException("JDK without message digest " + ALGORITHM, missing);
    }
  }
}
