import java.io.ByteArrayOutputStream;
import java.math.BigInteger;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** CBOR for maps keyed by text, lists, text, numbers, booleans and null: what the message bodies consist of. */
final class Cbor {
    private final ByteBuffer in;

    private Cbor(byte[] bytes) {
        in = ByteBuffer.wrap(bytes);
    }

    /** Reads one map; throws IllegalArgumentException for anything else. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> read(byte[] bytes) {
        if (bytes.length == 0) return new LinkedHashMap<>();
        try {
            Cbor cbor = new Cbor(bytes);
            Object value = cbor.value();
            if (cbor.in.hasRemaining()) throw new IllegalArgumentException("bytes follow the body");
            return (Map<String, Object>) value;
        } catch (ClassCastException | java.nio.BufferUnderflowException e) {
            throw new IllegalArgumentException("not a CBOR map", e);
        }
    }

    private static final Object BREAK = new Object();

    private Object value() {
        int first = in.get() & 0xff;
        int major = first >> 5;
        int low = first & 31;
        if (major == 7) return simple(low);
        if (low == 31) return indefinite(major);
        BigInteger n = argument(low);
        switch (major) {
            case 0:
                return integer(n);
            case 1:
                return integer(n.negate().subtract(BigInteger.ONE));
            case 3: {
                byte[] text = new byte[n.intValueExact()];
                in.get(text);
                return new String(text, StandardCharsets.UTF_8);
            }
            case 4: {
                List<Object> list = new ArrayList<>();
                for (int i = n.intValueExact(); i > 0; i--) list.add(value());
                return list;
            }
            case 5: {
                Map<String, Object> map = new LinkedHashMap<>();
                for (int i = n.intValueExact(); i > 0; i--) map.put((String) value(), value());
                return map;
            }
            default:
                throw new IllegalArgumentException("major type " + major);
        }
    }

    private Object simple(int low) {
        switch (low) {
            case 20:
                return false;
            case 21:
                return true;
            case 22:
            case 23:
                return null;
            case 25: {
                int half = in.getShort() & 0xffff;
                int exp = (half >> 10) & 31;
                int mant = half & 1023;
                double v = exp == 0 ? mant * Math.pow(2, -24) : (mant + 1024) * Math.pow(2, exp - 25);
                return (half & 0x8000) != 0 ? -v : v;
            }
            case 26:
                return (double) in.getFloat();
            case 27:
                return in.getDouble();
            case 31:
                return BREAK;
            default:
                throw new IllegalArgumentException("simple value " + low);
        }
    }

    private Object indefinite(int major) {
        if (major == 4) {
            List<Object> list = new ArrayList<>();
            for (Object v = value(); v != BREAK; v = value()) list.add(v);
            return list;
        }
        if (major == 5) {
            Map<String, Object> map = new LinkedHashMap<>();
            for (Object k = value(); k != BREAK; k = value()) map.put((String) k, value());
            return map;
        }
        if (major == 3) {
            StringBuilder text = new StringBuilder();
            for (Object v = value(); v != BREAK; v = value()) text.append((String) v);
            return text.toString();
        }
        throw new IllegalArgumentException("indefinite major type " + major);
    }

    private BigInteger argument(int low) {
        if (low < 24) return BigInteger.valueOf(low);
        if (low == 24) return BigInteger.valueOf(in.get() & 0xff);
        if (low == 25) return BigInteger.valueOf(in.getShort() & 0xffff);
        if (low == 26) return BigInteger.valueOf(in.getInt() & 0xffffffffL);
        byte[] eight = new byte[8];
        in.get(eight);
        return new BigInteger(1, eight);
    }

    private static Object integer(BigInteger n) {
        if (n.bitLength() < 64) return n.longValue();
        return n;
    }

    /** The value as CBOR. */
    static byte[] write(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        put(out, value);
        return out.toByteArray();
    }

    private static void put(ByteArrayOutputStream out, Object value) {
        if (value == null) {
            out.write(0xf6);
        } else if (value instanceof Boolean) {
            out.write((Boolean) value ? 0xf5 : 0xf4);
        } else if (value instanceof Double) {
            out.write(0xfb);
            out.writeBytes(ByteBuffer.allocate(8).putDouble((Double) value).array());
        } else if (value instanceof BigInteger) {
            BigInteger n = (BigInteger) value;
            if (n.signum() < 0) head(out, 1, n.negate().subtract(BigInteger.ONE));
            else head(out, 0, n);
        } else if (value instanceof Number) {
            long n = ((Number) value).longValue();
            if (n < 0) head(out, 1, BigInteger.valueOf(-1 - n));
            else head(out, 0, BigInteger.valueOf(n));
        } else if (value instanceof String) {
            byte[] text = ((String) value).getBytes(StandardCharsets.UTF_8);
            head(out, 3, BigInteger.valueOf(text.length));
            out.writeBytes(text);
        } else if (value instanceof Map) {
            Map<?, ?> map = (Map<?, ?>) value;
            head(out, 5, BigInteger.valueOf(map.size()));
            map.forEach((k, v) -> {
                put(out, k.toString());
                put(out, v);
            });
        } else if (value instanceof List) {
            List<?> list = (List<?>) value;
            head(out, 4, BigInteger.valueOf(list.size()));
            list.forEach(v -> put(out, v));
        } else {
            throw new IllegalArgumentException(value.getClass().toString());
        }
    }

    private static void head(ByteArrayOutputStream out, int major, BigInteger n) {
        int m = major << 5;
        if (n.bitLength() > 32) {
            out.write(m | 27);
            out.writeBytes(ByteBuffer.allocate(8).putLong(n.longValue()).array());
        } else if (n.bitLength() > 16) {
            out.write(m | 26);
            out.writeBytes(ByteBuffer.allocate(4).putInt(n.intValue()).array());
        } else if (n.bitLength() > 8) {
            out.write(m | 25);
            out.writeBytes(ByteBuffer.allocate(2).putShort(n.shortValue()).array());
        } else if (n.intValue() >= 24) {
            out.write(m | 24);
            out.write(n.intValue());
        } else {
            out.write(m | n.intValue());
        }
    }

    /** The value as JSON text; the pages count sizes in this form. */
    static String json(Object value) {
        StringBuilder out = new StringBuilder();
        json(out, value);
        return out.toString();
    }

    static int jsonSize(Object value) {
        return json(value).getBytes(StandardCharsets.UTF_8).length;
    }

    private static void json(StringBuilder out, Object value) {
        if (value instanceof String) {
            out.append('"');
            for (char c : ((String) value).toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < 32) out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else if (value instanceof Map) {
            out.append('{');
            String comma = "";
            for (Map.Entry<?, ?> e : ((Map<?, ?>) value).entrySet()) {
                out.append(comma);
                json(out, e.getKey().toString());
                out.append(':');
                json(out, e.getValue());
                comma = ",";
            }
            out.append('}');
        } else if (value instanceof List) {
            out.append('[');
            String comma = "";
            for (Object v : (List<?>) value) {
                out.append(comma);
                json(out, v);
                comma = ",";
            }
            out.append(']');
        } else {
            out.append(value);
        }
    }

    /** A map of the keys and values given in turn. */
    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }
}
