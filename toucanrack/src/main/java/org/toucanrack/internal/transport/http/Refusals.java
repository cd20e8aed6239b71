package org.toucanrack.internal.transport.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;

/** Writes the JSON body of refusals. Stateless and thread-safe. */
final class Refusals {

  private static final ObjectMapper JSON = new ObjectMapper();

  private Refusals() {}

  static String json(ForwardAnswer answer) {
    ObjectNode body = JSON.createObjectNode();
    body.put("code", answer.getErrorCode());
    body.put("message", answer.getMessage());
    body.put("verdict", ForwardAnswers.verdictOf(answer).headerValue());
    return body.toString();
  }
}
