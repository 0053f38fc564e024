import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses JSON without escapes in its texts, which is what the entries send. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    private Object value() {
        char next = text.charAt(at);
        if (next == '{') {
            Map<String, Object> fields = new LinkedHashMap<>();
            at++;
            while (text.charAt(at) != '}') {
                String name = (String) value();
                at++;
                fields.put(name, value());
                if (text.charAt(at) == ',') at++;
            }
            at++;
            return fields;
        }
        if (next == '[') {
            List<Object> items = new ArrayList<>();
            at++;
            while (text.charAt(at) != ']') {
                items.add(value());
                if (text.charAt(at) == ',') at++;
            }
            at++;
            return items;
        }
        int start = at;
        if (next == '"') {
            at = text.indexOf('"', at + 1) + 1;
            return text.substring(start + 1, at - 1);
        }
        while (at < text.length() && ",]}".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        return word.equals("null") ? null : (Object) Double.valueOf(word);
    }
}
