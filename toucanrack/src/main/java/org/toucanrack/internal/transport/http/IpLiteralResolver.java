package org.toucanrack.internal.transport.http;

import io.activej.dns.IDnsClient;
import io.activej.dns.protocol.DnsQuery;
import io.activej.dns.protocol.DnsResourceRecord;
import io.activej.dns.protocol.DnsResponse;
import io.activej.dns.protocol.DnsTransaction;
import io.activej.promise.Promise;
import java.net.InetAddress;
import java.net.UnknownHostException;

/** Resolves IP literals only, since backend servers are declared by IP. Stateless. */
public final class IpLiteralResolver implements IDnsClient {

  private static final int TTL_SECONDS = 3600;

  @Override
  public Promise<DnsResponse> resolve(DnsQuery query) {
    try {
      InetAddress[] addresses = {InetAddress.getByName(query.getDomainName())};
      return Promise.of(
          DnsResponse.of(
              DnsTransaction.of((short) 0, query), DnsResourceRecord.of(addresses, TTL_SECONDS)));
    } catch (UnknownHostException e) {
      return Promise.ofException(e);
    }
  }

  @Override
  public void close() {}
}
